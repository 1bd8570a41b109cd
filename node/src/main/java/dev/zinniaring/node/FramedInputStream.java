package dev.zinniaring.node;

import java.io.IOException;
import java.io.InputStream;

/**
 * An input stream that returns the bytes of a connection up to the end of the expected response,
 * and holds back any bytes after it.
 *
 * <p>Not thread-safe.
 */
final class FramedInputStream extends InputStream {
    private static final int BUFFER_BYTES = 8 * 1024;

    private final InputStream in;
    private final ResponseFraming framing = new ResponseFraming();
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private int from;
    private int to;

    FramedInputStream(InputStream in) {
        this.in = in;
    }

    /** Prepares for the response to a request with the given method. */
    void begin(String method) {
        framing.begin(method);
    }

    /** Returns whether the last response was read to its end and no bytes followed it. */
    boolean atResponseEnd() {
        return framing.done() && from == to;
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
        if (from == to && framing.bodyBytes() > 0) {
            return readBody(target, offset, length);
        }
        if (from == to && !fill()) {
            return -1;
        }
        int count = 0;
        while (count < length && from < to && !framing.done()) {
            int body = (int) Math.min(framing.bodyBytes(), Math.min(length - count, to - from));
            int step = Math.max(1, body);
            System.arraycopy(buffer, from, target, offset + count, step);
            if (body > 0) {
                framing.skip(body);
            } else {
                framing.parse(buffer[from]);
            }
            from += step;
            count += step;
        }
        if (count == 0) {
            throw new IOException("received bytes that belong to no response");
        }
        return count;
    }

    private int readBody(byte[] target, int offset, int length) throws IOException {
        int count = in.read(target, offset, (int) Math.min(length, framing.bodyBytes()));
        if (count > 0) {
            framing.skip(count);
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
