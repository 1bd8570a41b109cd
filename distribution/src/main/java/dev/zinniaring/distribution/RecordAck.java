package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * A seed's answer to {@link RecordRequest}.
 *
 * @param number taken from the request
 * @param phase taken from the request
 * @param confirmed whether the answer counts
 * @param life the seed's life; its mark is kept for one life only
 */
record RecordAck(long number, int phase, boolean confirmed, long life) implements Message {
    static final MessageCodec<RecordAck> CODEC =
            Wire.repairable(
                    41,
                    RecordAck.class,
                    (message, out) -> {
                        out.packLong(message.number).packInt(message.phase);
                        out.packBoolean(message.confirmed).packLong(message.life);
                    },
                    in ->
                            new RecordAck(
                                    Wire.natural(in),
                                    Wire.naturalInt(in),
                                    in.unpackBoolean(),
                                    Wire.natural(in)));
}
