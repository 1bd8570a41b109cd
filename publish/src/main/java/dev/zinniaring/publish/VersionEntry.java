package dev.zinniaring.publish;

/**
 * One entry of the version history of a mesh.
 *
 * @param number version number, from 1
 * @param hash hash of the canonical bytes of the tables
 * @param author who published the version
 * @param acceptedAtMillis time of acceptance in milliseconds since the epoch, by the clock of the
 *     publisher
 * @param token identifies the publication
 */
public record VersionEntry(
        long number, String hash, String author, long acceptedAtMillis, String token) {}
