package dev.zinniaring.distribution;

import dev.zinniaring.model.ModelException;
import dev.zinniaring.model.TablesCodec;
import dev.zinniaring.model.Version;

/** A whole, checked version with the bytes that its hash names. */
record HeldVersion(Version version, byte[] body) {
    /**
     * Checks bytes and returns the version that they hold.
     *
     * @throws DistributionException if the bytes do not have the hash
     * @throws ModelException if they do not hold valid tables
     */
    static HeldVersion read(long number, String hash, byte[] body)
            throws DistributionException, ModelException {
        String actual = TablesCodec.hash(body);
        if (!actual.equals(hash)) {
            throw new DistributionException(
                    "body of version " + number + " has hash " + actual + ", expected " + hash);
        }
        return new HeldVersion(new Version(number, hash, TablesCodec.decode(body)), body);
    }

    long number() {
        return version.number();
    }

    String hash() {
        return version.hash();
    }
}
