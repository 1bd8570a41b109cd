package dev.zinniaring.publish;

/**
 * One entry of a mesh's history.
 *
 * @param number the version's number, from 1
 * @param hash hash of the tables' canonical bytes
 * @param author who published it
 * @param acceptedAtMillis when, in milliseconds since the epoch by the publisher's clock
 * @param token identifies the publication
 */
public record VersionEntry(
        long number, String hash, String author, long acceptedAtMillis, String token) {}
