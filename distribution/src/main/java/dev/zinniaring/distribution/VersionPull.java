package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * Asks a peer for the version that it holds.
 *
 * @param heldNumber the sender's version, 0 for none; the answer may be a delta from it
 * @param heldHash its hash, empty for none
 */
record VersionPull(long heldNumber, String heldHash) implements Message {
    static final MessageCodec<VersionPull> CODEC =
            Wire.repairable(
                    45,
                    VersionPull.class,
                    (message, out) -> {
                        out.packLong(message.heldNumber);
                        Wire.hash(out, message.heldHash);
                    },
                    in -> new VersionPull(Wire.natural(in), Wire.hash(in)));
}
