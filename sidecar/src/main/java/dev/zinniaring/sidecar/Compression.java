package dev.zinniaring.sidecar;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compresses documents for their way between nodes, whose links can be narrow. */
final class Compression {
    /** Bounds what a damaged or hostile body can take of memory. */
    private static final int MAX_BYTES = 16 * 1024 * 1024;

    private Compression() {}

    static byte[] compress(byte[] bytes) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream(bytes.length / 4 + 64);
        try (GZIPOutputStream out = new GZIPOutputStream(compressed)) {
            out.write(bytes);
        } catch (IOException e) {
            throw new IllegalStateException("bytes could not be compressed in memory", e);
        }
        return compressed.toByteArray();
    }

    static byte[] decompress(byte[] compressed) throws SidecarException {
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            byte[] bytes = in.readNBytes(MAX_BYTES + 1);
            if (bytes.length > MAX_BYTES) {
                throw new SidecarException("a document has more than " + MAX_BYTES + " bytes");
            }
            return bytes;
        } catch (IOException e) {
            throw new SidecarException("the bytes hold no compressed document", e);
        }
    }
}
