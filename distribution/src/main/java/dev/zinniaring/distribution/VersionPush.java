package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import java.util.SortedSet;

/**
 * Announces a version that a majority of seeds has recorded. Versions that are not recorded are
 * never sent.
 *
 * @param number the version number
 * @param hash the hash of the version
 * @param baseNumber number of the version to which the delta applies
 * @param baseHash the hash of that version
 * @param delta the compressed delta; empty if the receiver must pull the body
 * @param zones availability zones to which the version has already been sent
 */
record VersionPush(
        long number,
        String hash,
        long baseNumber,
        String baseHash,
        byte[] delta,
        SortedSet<String> zones)
        implements Message {
    static final MessageCodec<VersionPush> CODEC =
            Wire.dropOldestCodec(
                    44,
                    VersionPush.class,
                    (message, out) -> {
                        out.packLong(message.number);
                        Wire.hash(out, message.hash);
                        out.packLong(message.baseNumber);
                        Wire.hash(out, message.baseHash);
                        Wire.bytes(out, message.delta);
                        Wire.names(out, message.zones);
                    },
                    in ->
                            new VersionPush(
                                    Wire.nonNegativeLong(in),
                                    Wire.hash(in),
                                    Wire.nonNegativeLong(in),
                                    Wire.hash(in),
                                    Wire.bytes(in, Wire.MAX_COMPRESSED_BYTES),
                                    Wire.names(in)));
}
