package dev.zinniaring.model;

/**
 * A published version of the tables.
 *
 * @param number position in the mesh's history, from 1
 * @param hash SHA-256 of the tables' canonical encoding, as 64 lower-case hexadecimal digits
 * @param tables the content of the version
 */
public record Version(long number, String hash, Tables tables) {
    /**
     * Validates the number.
     *
     * @throws IllegalArgumentException if {@code number} is below 1
     */
    public Version {
        if (number < 1) {
            throw new IllegalArgumentException("number must be at least 1, was " + number);
        }
    }

    /** Returns a version with the hash of {@code tables}. */
    public static Version of(long number, Tables tables) {
        return new Version(number, TablesCodec.hash(TablesCodec.encode(tables)), tables);
    }
}
