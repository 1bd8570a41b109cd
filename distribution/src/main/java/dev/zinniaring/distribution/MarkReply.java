package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * A seed's answer to {@link MarkQuery}.
 *
 * @param nonce taken from the question
 * @param mark highest number recorded by the seed
 * @param confirmed whether the answer counts
 */
record MarkReply(long nonce, long mark, boolean confirmed) implements Message {
    static final MessageCodec<MarkReply> CODEC =
            Wire.repairable(
                    43,
                    MarkReply.class,
                    (message, out) -> {
                        out.packLong(message.nonce);
                        out.packLong(message.mark).packBoolean(message.confirmed);
                    },
                    in -> new MarkReply(in.unpackLong(), Wire.natural(in), in.unpackBoolean()));
}
