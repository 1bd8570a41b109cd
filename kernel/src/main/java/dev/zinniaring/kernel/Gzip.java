package dev.zinniaring.kernel;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compression with a limit on the size of what is unpacked. */
public final class Gzip {
    private Gzip() {}

    /** Returns the bytes compressed. */
    public static byte[] pack(byte[] bytes) {
        ByteArrayOutputStream packed = new ByteArrayOutputStream(bytes.length / 4 + 64);
        try (GZIPOutputStream out = new GZIPOutputStream(packed)) {
            out.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return packed.toByteArray();
    }

    /**
     * Returns the bytes that were compressed.
     *
     * @throws KernelException if they are malformed or more than {@code maxBytes}
     */
    public static byte[] unpack(byte[] packed, int maxBytes) throws KernelException {
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(packed))) {
            byte[] bytes = in.readNBytes(maxBytes + 1);
            if (bytes.length > maxBytes) {
                throw new KernelException("unpacked size is above " + maxBytes + " bytes");
            }
            return bytes;
        } catch (IOException e) {
            throw new KernelException("compressed bytes are malformed", e);
        }
    }
}
