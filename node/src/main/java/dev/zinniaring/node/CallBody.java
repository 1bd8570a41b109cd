package dev.zinniaring.node;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;
import org.jspecify.annotations.Nullable;

/**
 * The body of a request: a buffered start and, for a longer body, a rest that can be streamed once.
 *
 * <pre>{@code
 * CallBody body = CallBody.complete(bytes);
 * if (body.repeatable()) { ... a retry may send it again ... }
 * }</pre>
 */
final class CallBody {
    /** Number of bytes of a body that are buffered, so that the call can be retried. */
    static final int BUFFERED_BYTES = 64 * 1024;

    private static final int CHUNK_BYTES = 16 * 1024;
    private static final byte[] EMPTY = new byte[0];
    private static final int TOO_LARGE = 413;

    static final CallBody NONE = new CallBody(EMPTY, null, 0, 0);

    private final byte[] start;
    private final @Nullable InputStream rest;
    private final long lengthBytes;
    private final long maxBytes;
    private boolean restConsumed;
    private volatile boolean restRead;

    private CallBody(byte[] start, @Nullable InputStream rest, long lengthBytes, long maxBytes) {
        this.start = start;
        this.rest = rest;
        this.lengthBytes = lengthBytes;
        this.maxBytes = maxBytes;
    }

    /** Returns a body that has been read to its end. */
    static CallBody complete(byte[] bytes) {
        return bytes.length == 0 ? NONE : new CallBody(bytes, null, bytes.length, bytes.length);
    }

    /**
     * Returns a body of which only the start has been read.
     *
     * @param lengthBytes the declared length, or -1 for a chunked body
     */
    static CallBody streamed(byte[] start, InputStream rest, long lengthBytes, long maxBytes) {
        return new CallBody(start, rest, lengthBytes, maxBytes);
    }

    /** Returns the buffered start; the array must not be modified. */
    byte[] start() {
        return start;
    }

    /** Returns all bytes, and reads those that are not buffered. */
    byte[] allBytes() throws IOException {
        if (rest == null) {
            return start;
        }
        okio.Buffer all = new okio.Buffer();
        forRequest().writeTo(all);
        return all.readByteArray();
    }

    boolean isEmpty() {
        return start.length == 0;
    }

    /** Returns whether the body can be sent, be it for the first time or again. */
    boolean repeatable() {
        return rest == null || !restConsumed;
    }

    /** Returns whether the whole body has been read from the caller. */
    boolean fullyRead() {
        return rest == null || restRead;
    }

    /** Returns the body of a request to the next hop. */
    RequestBody forRequest() {
        return rest == null ? RequestBody.create(start) : new Streamed(rest);
    }

    private final class Streamed extends RequestBody {
        private final InputStream in;

        Streamed(InputStream in) {
            this.in = in;
        }

        @Override
        public @Nullable MediaType contentType() {
            return null;
        }

        @Override
        public long contentLength() {
            return lengthBytes;
        }

        @Override
        public boolean isOneShot() {
            return true;
        }

        @Override
        public void writeTo(BufferedSink sink) throws IOException {
            restConsumed = true;
            sink.write(start);
            byte[] chunk = new byte[CHUNK_BYTES];
            long sentBytes = start.length;
            int count = readChunk(chunk);
            while (count >= 0) {
                sentBytes += count;
                if (sentBytes > maxBytes) {
                    throw new BodyException(
                            TOO_LARGE, "request body larger than " + maxBytes + " bytes");
                }
                sink.write(chunk, 0, count);
                count = readChunk(chunk);
            }
            restRead = true;
        }

        private int readChunk(byte[] chunk) throws BodyException {
            try {
                return in.read(chunk);
            } catch (IOException e) {
                throw new BodyException(e);
            }
        }
    }

    @Override
    public String toString() {
        return "CallBody[" + (fullyRead() ? Arrays.hashCode(start) : "streamed") + "]";
    }
}
