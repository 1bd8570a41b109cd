package dev.zinniaring.node;

import dev.zinniaring.admission.Suspect;
import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Message with the requests that were in flight when backend servers crashed. */
record SuspectBatch(List<Suspect> suspects) implements Message {
    static final MessageCodec<SuspectBatch> CODEC =
            MessageCodec.of(
                    60,
                    SuspectBatch.class,
                    MessageCodec.Overflow.DROP_OLDEST,
                    SuspectBatch::write,
                    SuspectBatch::read);

    /** Maximum number of suspects in one message. */
    static final int MAX_SUSPECTS = 1_024;

    private static final int MAX_CRASHES = 64;
    private static final int MAX_ID_CHARS = 128;

    SuspectBatch {
        suspects = List.copyOf(suspects);
    }

    private void write(MessagePacker out) throws IOException {
        out.packArrayHeader(suspects.size());
        for (Suspect suspect : suspects) {
            out.packLong(suspect.fingerprint());
            writeIds(suspect.crashes(), out);
            writeIds(suspect.cleared(), out);
            out.packLong(suspect.ageMillis());
        }
    }

    private static void writeIds(Set<String> ids, MessagePacker out) throws IOException {
        List<String> sent = ids.stream().sorted().limit(MAX_CRASHES).toList();
        out.packArrayHeader(sent.size());
        for (String id : sent) {
            out.packString(id);
        }
    }

    private static SuspectBatch read(MessageUnpacker in) throws IOException {
        int count = bounded(in.unpackArrayHeader(), MAX_SUSPECTS);
        List<Suspect> suspects = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            suspects.add(new Suspect(in.unpackLong(), readIds(in), readIds(in), in.unpackLong()));
        }
        return new SuspectBatch(suspects);
    }

    private static Set<String> readIds(MessageUnpacker in) throws IOException {
        int count = bounded(in.unpackArrayHeader(), MAX_CRASHES);
        Set<String> ids = new TreeSet<>();
        for (int i = 0; i < count; i++) {
            int length = bounded(in.unpackRawStringHeader(), MAX_ID_CHARS);
            ids.add(new String(in.readPayload(length), java.nio.charset.StandardCharsets.UTF_8));
        }
        return ids;
    }

    private static int bounded(int count, int max) throws IOException {
        if (count > max) {
            throw new IOException("list or string of length " + count + ", maximum is " + max);
        }
        return count;
    }
}
