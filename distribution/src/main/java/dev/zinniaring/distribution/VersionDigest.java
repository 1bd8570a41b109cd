package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * Announces the version that the sender holds. The receiver pulls it if it is newer, or pushes its
 * own.
 *
 * @param number the version number, 0 for none
 * @param hash the hash of the version, empty for none
 */
record VersionDigest(long number, String hash) implements Message {
    static final MessageCodec<VersionDigest> CODEC =
            Wire.dropOldestCodec(
                    47,
                    VersionDigest.class,
                    (message, out) -> {
                        out.packLong(message.number);
                        Wire.hash(out, message.hash);
                    },
                    in -> new VersionDigest(Wire.nonNegativeLong(in), Wire.hash(in)));
}
