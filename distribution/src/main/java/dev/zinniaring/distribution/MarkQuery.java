package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * A starting node's question to a seed for its mark.
 *
 * @param nonce chosen by the sender for this life, so that answers to an earlier life are ignored
 */
record MarkQuery(long nonce) implements Message {
    static final MessageCodec<MarkQuery> CODEC =
            Wire.repairable(
                    42,
                    MarkQuery.class,
                    (message, out) -> out.packLong(message.nonce),
                    in -> new MarkQuery(in.unpackLong()));
}
