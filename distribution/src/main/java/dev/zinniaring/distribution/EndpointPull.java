package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * Requests endpoint records from a peer.
 *
 * @param buckets bit set of the requested buckets
 */
record EndpointPull(long buckets) implements Message {
    static final MessageCodec<EndpointPull> CODEC =
            Wire.dropOldestCodec(
                    51,
                    EndpointPull.class,
                    (message, out) -> out.packLong(message.buckets),
                    in -> new EndpointPull(in.unpackLong()));
}
