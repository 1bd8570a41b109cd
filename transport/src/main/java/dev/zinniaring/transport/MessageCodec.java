package dev.zinniaring.transport;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads one type of message. The type number precedes the fields on the wire. */
public interface MessageCodec<M extends Message> {
    /** Returns the number of this type on the wire, unique within the protocol. */
    int type();

    /** Returns the class of the messages. */
    Class<M> messageClass();

    /** Writes the fields of a message. */
    void write(M message, MessagePacker out) throws IOException;

    /**
     * Reads the fields of a message. Must check every length against a limit before allocating.
     *
     * @throws IOException if the bytes are malformed
     */
    M read(MessageUnpacker in) throws IOException;

    /** Returns what happens when the send queue of a link is full. */
    default Overflow overflow() {
        return Overflow.FAIL_LINK;
    }

    /**
     * Returns a codec made of two functions.
     *
     * <pre>{@code
     * MessageCodec.of(20, VersionPull.class, Overflow.FAIL_LINK,
     *         (pull, out) -> out.packLong(pull.number()),
     *         in -> new VersionPull(in.unpackLong()));
     * }</pre>
     */
    static <M extends Message> MessageCodec<M> of(
            int type,
            Class<M> messageClass,
            Overflow overflow,
            Writer<M> writer,
            Reader<M> reader) {
        return new FunctionCodec<>(type, messageClass, overflow, writer, reader);
    }

    /** Writes the fields of a message. */
    @FunctionalInterface
    interface Writer<M> {
        /** Writes the fields. */
        void write(M message, MessagePacker out) throws IOException;
    }

    /** Reads the fields of a message. */
    @FunctionalInterface
    interface Reader<M> {
        /** Reads the fields. */
        M read(MessageUnpacker in) throws IOException;
    }

    /** What happens to a message when the send queue of a link is full. */
    enum Overflow {
        /** The oldest queued message of this policy is dropped; repair brings its content later. */
        DROP_OLDEST,
        /** The link is closed; its users see that and start again. */
        FAIL_LINK
    }
}
