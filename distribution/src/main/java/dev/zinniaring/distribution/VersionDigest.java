package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * Names the version that the sender holds. The receiver pulls it or pushes its own.
 *
 * @param number the version, 0 for none
 * @param hash its hash, empty for none
 */
record VersionDigest(long number, String hash) implements Message {
    static final MessageCodec<VersionDigest> CODEC =
            Wire.repairable(
                    47,
                    VersionDigest.class,
                    (message, out) -> {
                        out.packLong(message.number);
                        Wire.hash(out, message.hash);
                    },
                    in -> new VersionDigest(Wire.natural(in), Wire.hash(in)));
}
