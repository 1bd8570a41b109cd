package dev.zinniaring.publish;

/**
 * The head row of a mesh, which names its latest accepted version. The row contains one JSON
 * object:
 *
 * <pre>{@code
 * {"number": 12, "hash": "9f86d0...", "author": "ines",
 *  "acceptedAtMillis": 1796356800000, "token": "0f3a..."}
 * }</pre>
 *
 * <p>Its key is {@code mesh/<mesh>/head}. Unknown fields are ignored.
 *
 * @param number version number, 0 if the mesh has no version yet
 * @param hash hash of the canonical bytes of the tables; empty for number 0
 * @param author who published the version
 * @param acceptedAtMillis time of acceptance in milliseconds since the epoch, by the clock of the
 *     publisher
 * @param token identifies the publication
 * @param revision revision of the head row, 0 if the row does not exist
 */
public record Head(
        long number,
        String hash,
        String author,
        long acceptedAtMillis,
        String token,
        long revision) {}
