package dev.zinniaring.node;

import dev.zinniaring.kernel.Clock;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/**
 * Buffers the start of a request's body without blocking a thread while it arrives, then delivers
 * the body on one of the listener's threads.
 *
 * <p>Jetty's EagerContentHandler does the same, but has no time-out for a sender that stops
 * sending.
 */
final class BodyLoader implements Runnable {
    private static final int BAD_REQUEST = 400;
    private static final int TIMEOUT = 408;
    private static final int TOO_LARGE = 413;
    private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int FIRST_BYTES = 512;

    /** Receives the result; exactly one of the methods is called. */
    interface Listener {
        /** The whole body, or its buffered start, has arrived. */
        void loaded(CallBody body);

        /** The body cannot be read. */
        void failed(CallException refusal);
    }

    private final Request request;
    private final Limits limits;
    private final Clock clock;
    private final Listener listener;
    private final long startNanos;
    private final ByteArrayOutputStream start = new ByteArrayOutputStream(FIRST_BYTES);

    private BodyLoader(Request request, Limits limits, Clock clock, Listener listener) {
        this.request = request;
        this.limits = limits;
        this.clock = clock;
        this.listener = listener;
        this.startNanos = clock.nanos();
    }

    static void load(Request request, Limits limits, Clock clock, Listener listener) {
        new BodyLoader(request, limits, clock, listener).run();
    }

    @Override
    public void run() {
        while (true) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                listener.failed(refusal(chunk.getFailure()));
                return;
            }
            append(chunk);
            if (deliverIfDone(chunk.isLast())) {
                return;
            }
        }
    }

    private void append(Content.Chunk chunk) {
        ByteBuffer buffer = chunk.getByteBuffer();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        chunk.release();
        start.write(bytes, 0, bytes.length);
    }

    private boolean deliverIfDone(boolean last) {
        if (start.size() > limits.maxBodyBytes()) {
            listener.failed(CallException.notRun(TOO_LARGE, "body-too-large"));
        } else if (last) {
            listener.loaded(CallBody.complete(start.toByteArray()));
        } else if (start.size() >= CallBody.BUFFERED_BYTES) {
            listener.loaded(
                    CallBody.streamed(
                            start.toByteArray(),
                            Content.Source.asInputStream(request),
                            request.getLength(),
                            limits.maxBodyBytes()));
        } else if (tooSlow()) {
            listener.failed(CallException.notRun(TIMEOUT, "body-too-slow"));
        } else {
            return false;
        }
        return true;
    }

    private boolean tooSlow() {
        long elapsedNanos = clock.nanos() - startNanos;
        double seconds = elapsedNanos / 1e9;
        return elapsedNanos > GRACE_NANOS
                && start.size() < seconds * limits.minBodyBytesPerSecond();
    }

    private static CallException refusal(Throwable failure) {
        return failure instanceof TimeoutException
                ? CallException.notRun(TIMEOUT, "body-too-slow")
                : CallException.notRun(BAD_REQUEST, "bad-body");
    }
}
