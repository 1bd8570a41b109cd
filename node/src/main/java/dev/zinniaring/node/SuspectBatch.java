package dev.zinniaring.node;

import dev.zinniaring.admission.Suspect;
import dev.zinniaring.admission.SuspectCodec;
import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import java.util.List;

/** Message with the requests that were in flight when backend servers crashed. */
record SuspectBatch(List<Suspect> suspects) implements Message {
    static final MessageCodec<SuspectBatch> CODEC =
            MessageCodec.of(
                    60,
                    SuspectBatch.class,
                    MessageCodec.Overflow.DROP_OLDEST,
                    (batch, out) -> SuspectCodec.pack(batch.suspects(), out),
                    in -> new SuspectBatch(SuspectCodec.unpack(in)));

    SuspectBatch {
        suspects = List.copyOf(suspects);
    }
}
