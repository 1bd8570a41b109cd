package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * Answer of a seed to {@link RecordRequest}.
 *
 * @param number the version number of the request
 * @param phase the phase of the request
 * @param confirmed whether the seed knows at least what its earlier incarnations knew; an
 *     unconfirmed answer does not count towards a majority
 * @param incarnation the incarnation of the seed; its mark is lost when it restarts
 */
record RecordAck(long number, int phase, boolean confirmed, long incarnation) implements Message {
    static final MessageCodec<RecordAck> CODEC =
            Wire.dropOldestCodec(
                    41,
                    RecordAck.class,
                    (message, out) -> {
                        out.packLong(message.number).packInt(message.phase);
                        out.packBoolean(message.confirmed).packLong(message.incarnation);
                    },
                    in ->
                            new RecordAck(
                                    Wire.nonNegativeLong(in),
                                    Wire.nonNegativeInt(in),
                                    in.unpackBoolean(),
                                    Wire.nonNegativeLong(in)));
}
