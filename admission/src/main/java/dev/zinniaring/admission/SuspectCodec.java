package dev.zinniaring.admission;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes suspects as MessagePack, for messages between nodes. */
public final class SuspectCodec {
    /** Maximum number of suspects in one message. */
    public static final int MAX_SUSPECTS = 1_024;

    private static final int MAX_CRASHES = 64;
    private static final int MAX_ID_BYTES = 512;

    private SuspectCodec() {}

    /** Encodes up to {@link #MAX_SUSPECTS} suspects. */
    public static byte[] encode(List<Suspect> suspects) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            pack(suspects.subList(0, Math.min(suspects.size(), MAX_SUSPECTS)), packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("failed to encode suspects", e);
        }
    }

    /**
     * Decodes what {@link #encode} has encoded.
     *
     * @throws IOException if the bytes are no list of suspects, or end with others
     */
    public static List<Suspect> decode(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            List<Suspect> suspects = unpack(unpacker);
            if (unpacker.hasNext()) {
                throw new IOException("bytes after the suspects");
            }
            return suspects;
        } catch (MessagePackException e) {
            throw new IOException("malformed suspects", e);
        }
    }

    /** Writes suspects, at most {@link #MAX_SUSPECTS}. */
    public static void pack(List<Suspect> suspects, MessagePacker out) throws IOException {
        out.packArrayHeader(suspects.size());
        for (Suspect suspect : suspects) {
            out.packLong(suspect.fingerprint());
            packIds(suspect.crashes(), out);
            packIds(suspect.cleared(), out);
            out.packLong(suspect.ageMillis());
        }
    }

    private static void packIds(Set<String> ids, MessagePacker out) throws IOException {
        List<String> sent = ids.stream().sorted().limit(MAX_CRASHES).toList();
        out.packArrayHeader(sent.size());
        for (String id : sent) {
            out.packString(id);
        }
    }

    /** Reads what {@link #pack} has written. */
    public static List<Suspect> unpack(MessageUnpacker in) throws IOException {
        int count = bounded(in.unpackArrayHeader(), MAX_SUSPECTS);
        List<Suspect> suspects = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            suspects.add(
                    new Suspect(in.unpackLong(), unpackIds(in), unpackIds(in), in.unpackLong()));
        }
        return suspects;
    }

    private static Set<String> unpackIds(MessageUnpacker in) throws IOException {
        int count = bounded(in.unpackArrayHeader(), MAX_CRASHES);
        Set<String> ids = new TreeSet<>();
        for (int i = 0; i < count; i++) {
            int length = bounded(in.unpackRawStringHeader(), MAX_ID_BYTES);
            ids.add(new String(in.readPayload(length), StandardCharsets.UTF_8));
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
