package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * Endpoint records for a peer.
 *
 * @param wholeBuckets bit set of the buckets of which these are all the sender's records; the
 *     receiver sends back what it holds beyond them. 0 for changes only.
 * @param packed an {@link EndpointBlock}
 */
record EndpointBatch(long wholeBuckets, byte[] packed) implements Message {
    static final MessageCodec<EndpointBatch> CODEC =
            Wire.repairable(
                    50,
                    EndpointBatch.class,
                    (message, out) -> {
                        out.packLong(message.wholeBuckets);
                        Wire.bytes(out, message.packed);
                    },
                    in ->
                            new EndpointBatch(
                                    in.unpackLong(), Wire.bytes(in, Wire.MAX_PACKED_BYTES)));
}
