package dev.zinniaring.calls;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * An inbound connection of a listener. It keeps reading while a request is being handled, so that a
 * disconnect is detected immediately; pipelined requests are queued and handled in order.
 */
final class InboundConnection extends ChannelInboundHandlerAdapter {
    /**
     * Maximum number of decoded HTTP objects of pipelined requests to buffer; beyond it, the
     * connection is closed.
     */
    private static final int MAX_READ_AHEAD = 256;

    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int PAYLOAD_TOO_LARGE = 413;
    private static final int EXPECTATION_FAILED = 417;
    private static final int HEADERS_TOO_LARGE = 431;

    private final HttpListener listener;
    private final Deque<HttpObject> readAhead = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext context;
    private @Nullable HttpRequest head;
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private long headReadNanos;
    private boolean headStarted;
    private long headStartedNanos;
    private @Nullable Exchange exchange;
    private boolean lastAnswerSent;
    private long idleSinceNanos;
    private boolean reading;
    private boolean processing;

    InboundConnection(HttpListener listener) {
        this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext opened) {
        context = opened;
        idleSinceNanos = listener.clock().nanos();
        listener.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
        listener.closed(this);
        readAhead.forEach(ReferenceCountUtil::release);
        readAhead.clear();
        Exchange running = exchange;
        if (running != null) {
            exchange = null;
            running.cancel();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        failed.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object message) {
        if (!(message instanceof HttpObject object)) {
            ReferenceCountUtil.release(message);
            return;
        }
        readAhead.add(object);
        if (readAhead.size() > MAX_READ_AHEAD && exchange != null) {
            from.close();
            return;
        }
        processBuffered();
    }

    /** Records when the head of the next request starts to arrive. */
    void bytesArrived() {
        if (exchange == null && !reading && !headStarted) {
            headStarted = true;
            headStartedNanos = listener.clock().nanos();
        }
    }

    /** Processes buffered HTTP objects until a request is in progress or none are left. */
    private void processBuffered() {
        if (processing) {
            return;
        }
        processing = true;
        try {
            while (exchange == null && !readAhead.isEmpty()) {
                HttpObject object = readAhead.poll();
                try {
                    process(object);
                } finally {
                    ReferenceCountUtil.release(object);
                }
            }
        } finally {
            processing = false;
        }
    }

    private void process(HttpObject object) {
        if (lastAnswerSent) {
            return;
        }
        DecoderResult result = object.decoderResult();
        if (result.isFailure()) {
            reject(statusOf(result.cause()));
            return;
        }
        if (object instanceof HttpRequest request) {
            beginRequest(request);
        }
        if (head != null && object instanceof HttpContent content) {
            appendBody(content);
        }
    }

    /** Returns the status for a request that could not be decoded. */
    private static int statusOf(Throwable cause) {
        return cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException
                ? HEADERS_TOO_LARGE
                : BAD_REQUEST;
    }

    private void beginRequest(HttpRequest request) {
        head = request;
        reading = true;
        headStarted = false;
        body = new ByteArrayOutputStream(0);
        headReadNanos = listener.clock().nanos();
        if (HttpUtil.getContentLength(request, 0L) > listener.limits().maxBodyBytes()) {
            reject(PAYLOAD_TOO_LARGE);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            write(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        } else if (request.headers().contains(HttpHeaderNames.EXPECT)) {
            reject(EXPECTATION_FAILED);
        }
    }

    private void appendBody(HttpContent content) {
        ByteBuf bytes = content.content();
        if (body.size() + bytes.readableBytes() > listener.limits().maxBodyBytes()) {
            reject(PAYLOAD_TOO_LARGE);
            return;
        }
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        body.write(copy, 0, copy.length);
        HttpRequest request = head;
        if (content instanceof LastHttpContent && request != null) {
            head = null;
            reading = false;
            serve(request);
        }
    }

    private void serve(HttpRequest request) {
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        byte[] bytes = body.toByteArray();
        body = new ByteArrayOutputStream(0);
        Exchange started =
                new Exchange(
                        request.method().name(),
                        request.uri(),
                        request.headers(),
                        bytes,
                        headReadNanos,
                        answer -> answered(answer, keepAlive, request.method().name()));
        exchange = started;
        listener.handler().handle(started);
    }

    private void answered(Answer answer, boolean keepAlive, String method) {
        exchange = null;
        idleSinceNanos = listener.clock().nanos();
        boolean close = !keepAlive || listener.draining();
        send(answer, close, method.equals("HEAD"));
        if (!close) {
            processBuffered();
        }
    }

    private void reject(int status) {
        head = null;
        reading = false;
        send(Answer.of(status), true, false);
    }

    private void send(Answer answer, boolean close, boolean headOnly) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(answer.status()),
                        headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(answer.body()));
        HopHeaders.copyAll(answer.headers(), response.headers());
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        if (close) {
            lastAnswerSent = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ChannelFuture written = write(response);
        if (close && written != null) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private @Nullable ChannelFuture write(FullHttpResponse response) {
        ChannelHandlerContext open = context;
        if (open == null || !open.channel().isActive()) {
            response.release();
            return null;
        }
        return open.writeAndFlush(response);
    }

    /** Returns whether a request is being read or handled. */
    boolean busy() {
        return exchange != null || reading;
    }

    /**
     * Enforces the timeouts: rejects a request whose head or body arrives too slowly with status
     * 408, and closes an idle connection.
     */
    void checkTimeouts(long nowNanos) {
        ChannelHandlerContext open = context;
        if (open == null || exchange != null || lastAnswerSent) {
            return;
        }
        ClientLimits limits = listener.limits();
        if (headStarted && nowNanos - headStartedNanos > nanos(limits.headerTimeoutMillis())) {
            reject(REQUEST_TIMEOUT);
        } else if (reading && nowNanos - headReadNanos > nanos(limits.idleTimeoutMillis())) {
            reject(REQUEST_TIMEOUT);
        } else if (!reading && nowNanos - idleSinceNanos > nanos(limits.idleTimeoutMillis())) {
            open.close();
        }
    }

    private static long nanos(long millis) {
        return millis * 1_000_000L;
    }
}
