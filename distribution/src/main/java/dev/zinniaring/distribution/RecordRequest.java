package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * Asks a seed to raise its mark. Named {@code Record} in the design; that name would hide {@link
 * java.lang.Record}.
 *
 * @param number a version that the sender has read from the platform
 * @param phase counts the sender's requests for this version, from 1
 */
record RecordRequest(long number, int phase) implements Message {
    static final MessageCodec<RecordRequest> CODEC =
            Wire.repairable(
                    40,
                    RecordRequest.class,
                    (message, out) -> out.packLong(message.number).packInt(message.phase),
                    in -> new RecordRequest(Wire.natural(in), Wire.naturalInt(in)));
}
