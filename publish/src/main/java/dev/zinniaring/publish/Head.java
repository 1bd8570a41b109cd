package dev.zinniaring.publish;

/**
 * The head row of a mesh: names its latest accepted version. The row holds one JSON object:
 *
 * <pre>{@code
 * {"number": 12, "hash": "9f86d0...", "author": "ines",
 *  "acceptedAtMillis": 1796356800000, "token": "0f3a..."}
 * }</pre>
 *
 * <p>Its key is {@code mesh/<mesh>/head}; unknown fields are ignored.
 *
 * @param number the version's number, 0 for a mesh without any version
 * @param hash hash of the tables' canonical bytes; empty for number 0
 * @param author who published it
 * @param acceptedAtMillis when, in milliseconds since the epoch by the publisher's clock
 * @param token identifies the publication
 * @param revision revision of the head row, 0 if it does not exist
 */
public record Head(
        long number,
        String hash,
        String author,
        long acceptedAtMillis,
        String token,
        long revision) {}
