package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * Carries the complete content of a version that a majority of seeds has recorded.
 *
 * @param number the version number
 * @param hash the hash of the version
 * @param compressedBody the compressed canonical bytes
 */
record VersionBody(long number, String hash, byte[] compressedBody) implements Message {
    static final MessageCodec<VersionBody> CODEC =
            Wire.dropOldestCodec(
                    46,
                    VersionBody.class,
                    (message, out) -> {
                        out.packLong(message.number);
                        Wire.hash(out, message.hash);
                        Wire.bytes(out, message.compressedBody);
                    },
                    in ->
                            new VersionBody(
                                    Wire.nonNegativeLong(in),
                                    Wire.hash(in),
                                    Wire.bytes(in, Wire.MAX_COMPRESSED_BYTES)));
}
