package dev.zinniaring.transport;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the fields of one message type. The type number precedes them on the wire.
 */
public interface MessageCodec<M extends Message> {
    /** Returns the type number on the wire, unique within the protocol. */
    int type();

    /** Returns the class of this type's messages. */
    Class<M> messageClass();

    /** Writes the fields of a message. */
    void write(M message, MessagePacker out) throws IOException;

    /**
     * Reads the fields of a message. Implementations must check every length against a limit before
     * they allocate memory for it.
     *
     * @throws IOException if the bytes are malformed
     */
    M read(MessageUnpacker in) throws IOException;

    /** Returns the overflow policy of this type for a link whose send queue is full. */
    default Overflow overflow() {
        return Overflow.FAIL_LINK;
    }

    /**
     * Returns a codec that delegates to two functions.
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
        /** Writes the fields of {@code message} to {@code out}. */
        void write(M message, MessagePacker out) throws IOException;
    }

    /** Reads the fields of a message. */
    @FunctionalInterface
    interface Reader<M> {
        /** Reads the fields from {@code in} and returns the message. */
        M read(MessageUnpacker in) throws IOException;
    }

    /** Policy for a message when the send queue of a link is full. */
    enum Overflow {
        /**
         * Drops the oldest queued messages of this policy; anti-entropy repair delivers them later.
         */
        DROP_OLDEST,
        /** Closes the link; its users detect that and start over. */
        FAIL_LINK
    }
}
