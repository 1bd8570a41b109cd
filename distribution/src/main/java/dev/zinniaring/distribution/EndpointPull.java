package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * Asks a peer for its endpoint records.
 *
 * @param buckets bit set of the buckets wanted
 */
record EndpointPull(long buckets) implements Message {
    static final MessageCodec<EndpointPull> CODEC =
            Wire.repairable(
                    51,
                    EndpointPull.class,
                    (message, out) -> out.packLong(message.buckets),
                    in -> new EndpointPull(in.unpackLong()));
}
