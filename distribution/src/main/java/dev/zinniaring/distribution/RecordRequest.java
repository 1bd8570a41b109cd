package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;

/**
 * Requests a seed to raise its mark to a version number. Called {@code Record} in the design; that
 * name would hide {@link java.lang.Record}.
 *
 * @param number number of a version that the sender has read from the platform
 * @param phase number of the request among the requests of the sender for this version, from 1
 */
record RecordRequest(long number, int phase) implements Message {
    static final MessageCodec<RecordRequest> CODEC =
            Wire.dropOldestCodec(
                    40,
                    RecordRequest.class,
                    (message, out) -> out.packLong(message.number).packInt(message.phase),
                    in -> new RecordRequest(Wire.nonNegativeLong(in), Wire.nonNegativeInt(in)));
}
