package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * Requests the version that a peer holds.
 *
 * @param heldNumber number of the version that the sender holds, 0 for none; the answer may be a
 *     delta from it
 * @param heldHash the hash of that version, empty for none
 */
record VersionPull(long heldNumber, String heldHash) implements Message {
    static final MessageCodec<VersionPull> CODEC =
            Wire.dropOldestCodec(
                    45,
                    VersionPull.class,
                    (message, out) -> {
                        out.packLong(message.heldNumber);
                        Wire.hash(out, message.heldHash);
                    },
                    in -> new VersionPull(Wire.nonNegativeLong(in), Wire.hash(in)));
}
