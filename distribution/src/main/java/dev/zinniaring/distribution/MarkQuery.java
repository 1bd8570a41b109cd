package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * Request of a starting node for a seed's mark, see {@link SeedState}.
 *
 * @param nonce chosen by the sender once per incarnation, so that it can ignore answers to earlier
 *     incarnations
 */
record MarkQuery(long nonce) implements Message {
    static final MessageCodec<MarkQuery> CODEC =
            Wire.dropOldestCodec(
                    42,
                    MarkQuery.class,
                    (message, out) -> out.packLong(message.nonce),
                    in -> new MarkQuery(in.unpackLong()));
}
