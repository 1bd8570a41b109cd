package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * Carries endpoint records to a peer.
 *
 * @param wholeBuckets bit set of the buckets that this batch contains completely; the receiver
 *     sends back those records of these buckets that the batch lacks or holds in an older state. 0
 *     if the batch carries changes only.
 * @param compressed an encoded {@link EndpointBlock}
 */
record EndpointBatch(long wholeBuckets, byte[] compressed) implements Message {
    static final MessageCodec<EndpointBatch> CODEC =
            Wire.dropOldestCodec(
                    50,
                    EndpointBatch.class,
                    (message, out) -> {
                        out.packLong(message.wholeBuckets);
                        Wire.bytes(out, message.compressed);
                    },
                    in ->
                            new EndpointBatch(
                                    in.unpackLong(), Wire.bytes(in, Wire.MAX_COMPRESSED_BYTES)));
}
