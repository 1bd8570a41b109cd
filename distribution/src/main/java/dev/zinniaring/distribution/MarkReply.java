package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * Answer of a seed to {@link MarkQuery}.
 *
 * @param nonce the nonce of the query
 * @param mark the mark of the seed, see {@link SeedState}
 * @param confirmed whether the seed knows at least what its earlier incarnations knew; an
 *     unconfirmed answer does not count towards a majority
 */
record MarkReply(long nonce, long mark, boolean confirmed) implements Message {
    static final MessageCodec<MarkReply> CODEC =
            Wire.dropOldestCodec(
                    43,
                    MarkReply.class,
                    (message, out) -> {
                        out.packLong(message.nonce);
                        out.packLong(message.mark).packBoolean(message.confirmed);
                    },
                    in ->
                            new MarkReply(
                                    in.unpackLong(), Wire.nonNegativeLong(in), in.unpackBoolean()));
}
