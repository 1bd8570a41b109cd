package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.Gzip;
import dev.zinniaring.kernel.KernelException;

/** Compresses documents for their way between nodes, whose links can be narrow. */
final class Compression {
    /** Bounds what a damaged or hostile body can take of memory. */
    private static final int MAX_BYTES = 16 * 1024 * 1024;

    private Compression() {}

    static byte[] compress(byte[] bytes) {
        return Gzip.pack(bytes);
    }

    static byte[] decompress(byte[] compressed) throws SidecarException {
        try {
            return Gzip.unpack(compressed, MAX_BYTES);
        } catch (KernelException e) {
            throw new SidecarException("the bytes hold no compressed document", e);
        }
    }
}
