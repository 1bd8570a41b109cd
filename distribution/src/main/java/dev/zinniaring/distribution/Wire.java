package dev.zinniaring.distribution;

import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import java.io.IOException;
import java.util.HexFormat;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes message fields, with a limit on every length. */
final class Wire {
    static final int MAX_NAME_BYTES = 256;
    static final int MAX_HASH_BYTES = 32;
    static final int MAX_SEEDS = 1_024;
    static final int MAX_ZONES = 256;
    // Below the frame limit of 4 MiB, with room for the other fields.
    static final int MAX_COMPRESSED_BYTES = 4 * 1024 * 1024 - 64 * 1024;

    private Wire() {}

    /**
     * Returns a codec for messages that may be dropped from a full queue, oldest first, because a
     * later message repeats or repairs them.
     */
    static <M extends Message> MessageCodec<M> dropOldestCodec(
            int type,
            Class<M> messageClass,
            MessageCodec.Writer<M> writer,
            MessageCodec.Reader<M> reader) {
        return MessageCodec.of(
                type, messageClass, MessageCodec.Overflow.DROP_OLDEST, writer, reader);
    }

    static String text(MessageUnpacker in, int maxBytes) throws IOException {
        int length = checked(in.unpackRawStringHeader(), maxBytes, "string");
        return new String(in.readPayload(length), java.nio.charset.StandardCharsets.UTF_8);
    }

    /** Reads a hash as hexadecimal digits; empty if there is none. */
    static String hash(MessageUnpacker in) throws IOException {
        return HexFormat.of().formatHex(bytes(in, MAX_HASH_BYTES));
    }

    /** Writes a hash given as hexadecimal digits in binary form. */
    static void hash(MessagePacker out, String hash) throws IOException {
        bytes(out, HexFormat.of().parseHex(hash));
    }

    static byte[] bytes(MessageUnpacker in, int maxBytes) throws IOException {
        return in.readPayload(checked(in.unpackBinaryHeader(), maxBytes, "binary"));
    }

    static void bytes(MessagePacker out, byte[] bytes) throws IOException {
        out.packBinaryHeader(bytes.length).writePayload(bytes);
    }

    static long nonNegativeLong(MessageUnpacker in) throws IOException {
        long value = in.unpackLong();
        if (value < 0) {
            throw new IOException("number must not be negative, was " + value);
        }
        return value;
    }

    static int nonNegativeInt(MessageUnpacker in) throws IOException {
        int value = in.unpackInt();
        if (value < 0) {
            throw new IOException("number must not be negative, was " + value);
        }
        return value;
    }

    static SortedMap<String, Long> numbers(MessageUnpacker in) throws IOException {
        int count = checked(in.unpackMapHeader(), MAX_SEEDS, "map");
        SortedMap<String, Long> numbers = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            numbers.put(text(in, MAX_NAME_BYTES), nonNegativeLong(in));
        }
        return numbers;
    }

    static void numbers(MessagePacker out, Map<String, Long> numbers) throws IOException {
        out.packMapHeader(numbers.size());
        for (Map.Entry<String, Long> entry : numbers.entrySet()) {
            out.packString(entry.getKey()).packLong(entry.getValue());
        }
    }

    static SortedSet<String> names(MessageUnpacker in) throws IOException {
        int count = checked(in.unpackArrayHeader(), MAX_ZONES, "list");
        SortedSet<String> names = new TreeSet<>();
        for (int i = 0; i < count; i++) {
            names.add(text(in, MAX_NAME_BYTES));
        }
        return names;
    }

    static void names(MessagePacker out, SortedSet<String> names) throws IOException {
        out.packArrayHeader(names.size());
        for (String name : names) {
            out.packString(name);
        }
    }

    static int checked(int length, int max, String what) throws IOException {
        if (length < 0 || length > max) {
            throw new IOException(what + " length must be at most " + max + ", was " + length);
        }
        return length;
    }
}
