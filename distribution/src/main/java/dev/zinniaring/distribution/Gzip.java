package dev.zinniaring.distribution;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compression with a limit on the size of what is unpacked. */
final class Gzip {
    private Gzip() {}

    static byte[] pack(byte[] bytes) {
        ByteArrayOutputStream packed = new ByteArrayOutputStream(bytes.length / 4 + 64);
        try (GZIPOutputStream out = new GZIPOutputStream(packed)) {
            out.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return packed.toByteArray();
    }

    static byte[] unpack(byte[] packed, int maxBytes) throws DistributionException {
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(packed))) {
            byte[] bytes = in.readNBytes(maxBytes + 1);
            if (bytes.length > maxBytes) {
                throw new DistributionException("unpacked size is above " + maxBytes + " bytes");
            }
            return bytes;
        } catch (IOException e) {
            throw new DistributionException("compressed bytes are malformed", e);
        }
    }
}
