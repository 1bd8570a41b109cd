package dev.zinniaring.transport;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Splits a byte stream into length-prefixed frames. Memory grows with the bytes received, never
 * with the announced length alone.
 */
final class FrameDecoder {
    static final int LENGTH_BYTES = 4;
    private static final int INITIAL_BUFFER_BYTES = 4_096;
    private static final byte[] EMPTY = {};

    private int maxFrameBytes;
    private int lengthBytesRead;
    private int length;
    private byte[] body = EMPTY;
    private int bodyBytes;

    FrameDecoder(int maxFrameBytes) {
        this.maxFrameBytes = maxFrameBytes;
    }

    /**
     * Consumes bytes up to the end of the next frame.
     *
     * @return the frame, or null if more bytes are needed
     * @throws TransportException if the announced length is 0, negative or over the limit
     */
    byte @Nullable [] next(ByteBuffer in) throws TransportException {
        if (!readLength(in)) {
            return null;
        }
        readBody(in);
        if (bodyBytes < length) {
            return null;
        }
        byte[] frame = body.length == length ? body : Arrays.copyOf(body, length);
        reset();
        return frame;
    }

    /** Sets the maximum size of the frames that follow. */
    void setMaxFrameBytes(int newMaxFrameBytes) {
        maxFrameBytes = newMaxFrameBytes;
    }

    /** Returns whether a frame has been received in part. */
    boolean isPartial() {
        return lengthBytesRead > 0;
    }

    /** Returns the size of the buffer allocated for the current frame. */
    int bufferedBytes() {
        return body.length;
    }

    private boolean readLength(ByteBuffer in) throws TransportException {
        if (lengthBytesRead == LENGTH_BYTES) {
            return true;
        }
        while (lengthBytesRead < LENGTH_BYTES) {
            if (!in.hasRemaining()) {
                return false;
            }
            length = (length << 8) | (in.get() & 0xff);
            lengthBytesRead++;
        }
        if (length < 1 || length > maxFrameBytes) {
            throw new TransportException(
                    "frame length " + length + " is not between 1 and " + maxFrameBytes);
        }
        return true;
    }

    private void readBody(ByteBuffer in) {
        int count = Math.min(in.remaining(), length - bodyBytes);
        int needed = bodyBytes + count;
        if (needed > body.length) {
            int doubled = Math.max(INITIAL_BUFFER_BYTES, 2 * body.length);
            body = Arrays.copyOf(body, Math.min(length, Math.max(needed, doubled)));
        }
        in.get(body, bodyBytes, count);
        bodyBytes = needed;
    }

    private void reset() {
        lengthBytesRead = 0;
        length = 0;
        body = EMPTY;
        bodyBytes = 0;
    }
}
