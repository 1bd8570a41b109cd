package dev.zinniaring.transport;

import java.nio.ByteBuffer;

/** An encoded frame to be sent. Confined to the I/O thread once queued. */
final class OutFrame {
    private final ByteBuffer bytes;
    private final int sizeBytes;
    private final int type;
    private final MessageCodec.Overflow overflow;
    private long dueNanos;

    private OutFrame(byte[] message, int type, MessageCodec.Overflow overflow) {
        this.bytes = ByteBuffer.allocate(FrameDecoder.LENGTH_BYTES + message.length);
        this.bytes.putInt(message.length).put(message).flip();
        this.sizeBytes = bytes.remaining();
        this.type = type;
        this.overflow = overflow;
    }

    static <M extends Message> OutFrame of(MessageCodec<M> codec, Message message) {
        byte[] encoded = MessageTypes.encode(codec, message);
        return new OutFrame(encoded, codec.type(), codec.overflow());
    }

    ByteBuffer bytes() {
        return bytes;
    }

    int sizeBytes() {
        return sizeBytes;
    }

    int type() {
        return type;
    }

    /** Returns whether the frame may be dropped, which excludes one that is partly written. */
    boolean isDroppable() {
        return overflow == MessageCodec.Overflow.DROP_OLDEST && bytes.position() == 0;
    }

    long dueNanos() {
        return dueNanos;
    }

    void setDueNanos(long nanos) {
        dueNanos = nanos;
    }
}
