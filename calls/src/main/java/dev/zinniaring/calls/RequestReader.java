package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Assembles the decoded parts of the requests of one connection and enforces the size limits. */
final class RequestReader {
    private static final int BAD_REQUEST = 400;
    private static final int PAYLOAD_TOO_LARGE = 413;
    private static final int EXPECTATION_FAILED = 417;
    private static final int HEADERS_TOO_LARGE = 431;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Clock clock;
    private final Supplier<ClientLimits> limits;
    private final Listener listener;
    private @Nullable HttpRequest head;
    private @Nullable RequestBody body;
    private long headReadNanos;
    private boolean rejected;

    /** Receives what was read. */
    interface Listener {
        /** Called when the client waits for {@code 100 Continue} before it sends the body. */
        void onContinueExpected();

        /**
         * Claims memory for the body of a request whose head has been read.
         *
         * @param bytes size of the body; 0 if it is not known
         */
        BodyBudget.Claim claim(long bytes);

        /**
         * Called when a request has been read in full.
         *
         * @param headReadNanos clock reading when its head had been read
         */
        void onRequest(HttpRequest head, byte[] body, long headReadNanos);

        /** Called when a request cannot be accepted; nothing behind it is read. */
        void onRejected(int status);
    }

    RequestReader(Clock clock, Supplier<ClientLimits> limits, Listener listener) {
        this.clock = clock;
        this.limits = limits;
        this.listener = listener;
    }

    /** Reads the next part. */
    void read(HttpObject part) {
        if (rejected) {
            return;
        }
        DecoderResult result = part.decoderResult();
        if (result.isFailure()) {
            reject(statusOf(result.cause()));
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(request);
        }
        if (head != null && part instanceof HttpContent content) {
            append(head, content);
        }
    }

    private static int statusOf(Throwable cause) {
        if (cause instanceof RequestHeaders.NoMemoryException) {
            return SERVICE_UNAVAILABLE;
        }
        return cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException
                ? HEADERS_TOO_LARGE
                : BAD_REQUEST;
    }

    private void begin(HttpRequest request) {
        head = request;
        headReadNanos = clock.nanos();
        if (!wellFormed(request)) {
            reject(BAD_REQUEST);
            return;
        }
        boolean chunked = HttpUtil.isTransferEncodingChunked(request);
        long length = chunked ? 0 : HttpUtil.getContentLength(request, 0L);
        if (length > limits.get().maxBodyBytes()) {
            reject(PAYLOAD_TOO_LARGE);
            return;
        }
        BodyBudget.Claim claim = listener.claim(length);
        if (claim.refused()) {
            reject(SERVICE_UNAVAILABLE);
            return;
        }
        body = new RequestBody(claim, chunked ? -1 : (int) length);
        if (HttpUtil.is100ContinueExpected(request)) {
            listener.onContinueExpected();
        } else if (request.headers().contains(HttpHeaderNames.EXPECT)) {
            reject(EXPECTATION_FAILED);
        }
    }

    /** Returns whether the head names one host and one end of the body. */
    private static boolean wellFormed(HttpRequest request) {
        HttpHeaders headers = request.headers();
        boolean withLength = headers.contains(HttpHeaderNames.CONTENT_LENGTH);
        // The decoder takes eight bytes behind an old WebSocket handshake for its body.
        boolean assumedLength = !withLength && HttpUtil.getContentLength(request, 0L) > 0;
        return !assumedLength
                && headers.getAll(HttpHeaderNames.HOST).size() <= 1
                && RequestFraming.unambiguous(
                        headers.getAll(HttpHeaderNames.TRANSFER_ENCODING),
                        withLength,
                        request.protocolVersion().equals(HttpVersion.HTTP_1_1));
    }

    private void append(HttpRequest request, HttpContent content) {
        RequestBody reading = body;
        if (reading == null) {
            return;
        }
        ByteBuf bytes = content.content();
        if (reading.size() + bytes.readableBytes() > limits.get().maxBodyBytes()) {
            reject(PAYLOAD_TOO_LARGE);
        } else if (!reading.append(bytes)) {
            reject(SERVICE_UNAVAILABLE);
        } else if (content instanceof LastHttpContent) {
            byte[] complete = reading.toByteArray();
            head = null;
            body = null;
            listener.onRequest(request, complete, headReadNanos);
        }
    }

    /** Rejects the request that is being read, or the next one if none is. */
    void reject(int status) {
        head = null;
        body = null;
        rejected = true;
        listener.onRejected(status);
    }

    /** Returns whether the head of a request has been read, but not yet its whole body. */
    boolean readingBody() {
        return head != null;
    }

    /** Returns the bytes that have been read of the current body. */
    int bodyBytes() {
        RequestBody reading = body;
        return reading == null ? 0 : reading.size();
    }

    /** Returns the clock reading when the head of the current or last request had been read. */
    long headReadNanos() {
        return headReadNanos;
    }
}
