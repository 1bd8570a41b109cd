package dev.zinniaring.transport;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Registry of message types; encodes messages as {@code [type, fields...]} and decodes them. */
final class MessageTypes {
    private final Map<Integer, Entry<?>> byType = new ConcurrentHashMap<>();
    private final Map<Class<?>, Entry<?>> byClass = new ConcurrentHashMap<>();

    /** A message type with its codec and handler. */
    record Entry<M extends Message>(MessageCodec<M> codec, Network.Handler<M> handler) {
        int type() {
            return codec.type();
        }

        void deliver(Peer from, Message message) {
            handler.onMessage(from, codec.messageClass().cast(message));
        }

        String name() {
            return codec.messageClass().getSimpleName();
        }
    }

    /** A decoded message with its registry entry. */
    record Decoded(Entry<?> entry, Message message) {}

    <M extends Message> void add(MessageCodec<M> codec, Network.Handler<M> handler) {
        Entry<M> entry = new Entry<>(codec, handler);
        Entry<?> earlier = byType.putIfAbsent(codec.type(), entry);
        if (earlier != null) {
            throw new IllegalArgumentException(
                    "message type " + codec.type() + " is already used by " + earlier.name());
        }
        byClass.put(codec.messageClass(), entry);
    }

    Entry<?> of(Message message) {
        Entry<?> entry = byClass.get(message.getClass());
        if (entry == null) {
            throw new IllegalArgumentException(
                    "no codec is registered for " + message.getClass().getName());
        }
        return entry;
    }

    /** Returns the encoded message without the length prefix of its frame. */
    byte[] encode(Message message) {
        return encode(of(message).codec(), message);
    }

    static <M extends Message> byte[] encode(MessageCodec<M> codec, Message message) {
        try {
            byte[] fields = encodeFields(codec, message);
            MessageBufferPacker out = MessagePack.newDefaultBufferPacker();
            out.packArrayHeader(1 + countValues(fields));
            out.packInt(codec.type());
            out.writePayload(fields);
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "cannot encode " + codec.messageClass().getSimpleName(), e);
        }
    }

    /**
     * Decodes one message.
     *
     * @return the message, or empty if its type is unknown, as when sent by a newer version
     * @throws TransportException if the bytes are malformed
     */
    Optional<Decoded> decode(byte[] bytes) throws TransportException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            return decode(in);
        } catch (IOException | RuntimeException e) {
            throw new TransportException("malformed message of " + bytes.length + " bytes", e);
        }
    }

    /** Decodes the message at the current position, which must extend to the end of the buffer. */
    Optional<Decoded> decode(MessageUnpacker in) throws IOException {
        int count = in.unpackArrayHeader();
        if (count < 1) {
            throw new IOException("message has no type number");
        }
        Entry<?> entry = byType.get(in.unpackInt());
        if (entry == null) {
            return Optional.empty();
        }
        Message message = entry.codec().read(in);
        if (in.hasNext()) {
            throw new IOException("bytes after the last field of " + entry.name());
        }
        return Optional.of(new Decoded(entry, message));
    }

    /** Returns the name of a type for the counters, or "unknown" if it is not registered. */
    String name(int type) {
        Entry<?> entry = byType.get(type);
        return entry == null ? "unknown" : entry.name();
    }

    private static <M extends Message> byte[] encodeFields(MessageCodec<M> codec, Message message)
            throws IOException {
        MessageBufferPacker out = MessagePack.newDefaultBufferPacker();
        codec.write(codec.messageClass().cast(message), out);
        return out.toByteArray();
    }

    private static int countValues(byte[] fields) throws IOException {
        int count = 0;
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(fields)) {
            while (in.hasNext()) {
                in.skipValue();
                count++;
            }
        }
        return count;
    }
}
