package dev.zinniaring.node;

import java.io.IOException;
import java.io.InputStream;

/**
 * An input stream that returns the bytes of a connection up to the end of the expected response,
 * and holds back any bytes after it.
 *
 * <p>Not thread-safe.
 */
final class FramedInput extends InputStream {
    private static final int BUFFER_BYTES = 8 * 1024;

    private final InputStream in;
    private final AnswerFrame frame = new AnswerFrame();
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private int from;
    private int to;

    FramedInput(InputStream in) {
        this.in = in;
    }

    /** Prepares for the response to a request with the given method. */
    void begin(String method) {
        frame.begin(method);
    }

    /** Returns whether the last response was read to its end and no bytes followed it. */
    boolean clean() {
        return frame.done() && from == to;
    }

    @Override
    public int read() throws IOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
        if (length == 0) {
            return 0;
        }
        if (from == to && frame.plainBytes() > 0) {
            return readPlain(target, offset, length);
        }
        if (from == to && !fill()) {
            return -1;
        }
        int count = 0;
        while (count < length && from < to && !frame.done()) {
            int plain = (int) Math.min(frame.plainBytes(), Math.min(length - count, to - from));
            int step = Math.max(1, plain);
            System.arraycopy(buffer, from, target, offset + count, step);
            if (plain > 0) {
                frame.taken(plain);
            } else {
                frame.take(buffer[from]);
            }
            from += step;
            count += step;
        }
        if (count == 0) {
            throw new IOException("received bytes that belong to no response");
        }
        return count;
    }

    private int readPlain(byte[] target, int offset, int length) throws IOException {
        int count = in.read(target, offset, (int) Math.min(length, frame.plainBytes()));
        if (count > 0) {
            frame.taken(count);
        }
        return count;
    }

    private boolean fill() throws IOException {
        int count = in.read(buffer, 0, buffer.length);
        from = 0;
        to = Math.max(0, count);
        return count >= 0;
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
