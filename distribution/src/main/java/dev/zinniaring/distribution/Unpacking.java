package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Gzip;
import dev.zinniaring.kernel.KernelException;

/** Turns failures of the kernel's compression into those of this layer. */
final class Unpacking {
    private Unpacking() {}

    static byte[] unpack(byte[] packed, int maxBytes) throws DistributionException {
        try {
            return Gzip.unpack(packed, maxBytes);
        } catch (KernelException e) {
            throw new DistributionException(String.valueOf(e.getMessage()), e);
        }
    }
}
