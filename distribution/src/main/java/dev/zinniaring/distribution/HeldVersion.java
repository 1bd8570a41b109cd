package dev.zinniaring.distribution;

import dev.zinniaring.model.InvalidTablesException;
import dev.zinniaring.model.TablesCodec;
import dev.zinniaring.model.Version;

/** A decoded version together with its canonical bytes, verified against its hash. */
record HeldVersion(Version version, byte[] body) {
    /**
     * Verifies and decodes the canonical bytes of a version.
     *
     * @throws DistributionException if the bytes do not match the hash
     * @throws InvalidTablesException if the bytes do not contain valid tables
     */
    static HeldVersion read(long number, String hash, byte[] body)
            throws DistributionException, InvalidTablesException {
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
