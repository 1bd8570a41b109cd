package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * A whole recorded version.
 *
 * @param number the version
 * @param hash its hash
 * @param packedBody its canonical bytes, compressed
 */
record VersionBody(long number, String hash, byte[] packedBody) implements Message {
    static final MessageCodec<VersionBody> CODEC =
            Wire.repairable(
                    46,
                    VersionBody.class,
                    (message, out) -> {
                        out.packLong(message.number);
                        Wire.hash(out, message.hash);
                        Wire.bytes(out, message.packedBody);
                    },
                    in ->
                            new VersionBody(
                                    Wire.natural(in),
                                    Wire.hash(in),
                                    Wire.bytes(in, Wire.MAX_PACKED_BYTES)));
}
