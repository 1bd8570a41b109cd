package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Gzip;
import dev.zinniaring.kernel.KernelException;

/** Decompresses data and reports failures as {@link DistributionException}. */
final class Decompression {
    private Decompression() {}

    static byte[] decompress(byte[] compressed, int maxBytes) throws DistributionException {
        try {
            return Gzip.decompress(compressed, maxBytes);
        } catch (KernelException e) {
            throw new DistributionException(String.valueOf(e.getMessage()), e);
        }
    }
}
