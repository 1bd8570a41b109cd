package dev.zinniaring.kernel;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Gzip compression, and decompression with a limit on the decompressed size. */
public final class Gzip {
    private Gzip() {}

    /** Compresses a byte array. */
    public static byte[] compress(byte[] bytes) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream(bytes.length / 4 + 64);
        try (GZIPOutputStream out = new GZIPOutputStream(compressed)) {
            out.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return compressed.toByteArray();
    }

    /**
     * Decompresses a byte array.
     *
     * @throws KernelException if the input is malformed or decompresses to more than {@code
     *     maxBytes}
     */
    public static byte[] decompress(byte[] compressed, int maxBytes) throws KernelException {
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            byte[] bytes = in.readNBytes(maxBytes + 1);
            if (bytes.length > maxBytes) {
                throw new KernelException("decompressed size exceeds " + maxBytes + " bytes");
            }
            return bytes;
        } catch (IOException e) {
            throw new KernelException("gzip data is malformed", e);
        }
    }
}
