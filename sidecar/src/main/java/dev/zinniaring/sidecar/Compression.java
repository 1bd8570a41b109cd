package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.Gzip;
import dev.zinniaring.kernel.KernelException;

/** Compresses documents sent between nodes, whose links can have little bandwidth. */
final class Compression {
    /** Bounds the memory that a corrupt or hostile body can occupy once decompressed. */
    private static final int MAX_BYTES = 16 * 1024 * 1024;

    private Compression() {}

    static byte[] compress(byte[] bytes) {
        return Gzip.compress(bytes);
    }

    static byte[] decompress(byte[] compressed) throws SidecarException {
        try {
            return Gzip.decompress(compressed, MAX_BYTES);
        } catch (KernelException e) {
            throw new SidecarException("malformed compressed document", e);
        }
    }
}
