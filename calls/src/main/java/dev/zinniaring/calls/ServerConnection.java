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
 * One connection of a listener. It goes on reading while a request is being answered, so that it
 * sees at once when the other side leaves; requests that are sent ahead wait for their turn.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /** Pieces of requests that may be read ahead of their turn. */
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
    private long headNanos;
    private boolean headBegun;
    private long headBegunNanos;
    private @Nullable Exchange exchange;
    private boolean lastAnswer;
    private long idleSinceNanos;
    private boolean reading;
    private boolean advancing;

    ServerConnection(HttpListener listener) {
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
        if (!(message instanceof HttpObject piece)) {
            ReferenceCountUtil.release(message);
            return;
        }
        readAhead.add(piece);
        if (readAhead.size() > MAX_READ_AHEAD && exchange != null) {
            from.close();
            return;
        }
        advance();
    }

    /** Notes when the head of the next request begins to arrive. */
    void bytesArrived() {
        if (exchange == null && !reading && !headBegun) {
            headBegun = true;
            headBegunNanos = listener.clock().nanos();
        }
    }

    /** Takes up what has been read, until a request is whole or nothing is left. */
    private void advance() {
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            while (exchange == null && !readAhead.isEmpty()) {
                HttpObject piece = readAhead.poll();
                try {
                    take(piece);
                } finally {
                    ReferenceCountUtil.release(piece);
                }
            }
        } finally {
            advancing = false;
        }
    }

    private void take(HttpObject piece) {
        if (lastAnswer) {
            return;
        }
        DecoderResult result = piece.decoderResult();
        if (result.isFailure()) {
            refuse(malformed(result.cause()));
            return;
        }
        if (piece instanceof HttpRequest request) {
            begin(request);
        }
        if (head != null && piece instanceof HttpContent content) {
            collect(content);
        }
    }

    private static int malformed(Throwable cause) {
        return cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException
                ? HEADERS_TOO_LARGE
                : BAD_REQUEST;
    }

    private void begin(HttpRequest request) {
        head = request;
        reading = true;
        headBegun = false;
        body = new ByteArrayOutputStream(0);
        headNanos = listener.clock().nanos();
        if (HttpUtil.getContentLength(request, 0L) > listener.limits().maxBodyBytes()) {
            refuse(PAYLOAD_TOO_LARGE);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            write(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        } else if (request.headers().contains(HttpHeaderNames.EXPECT)) {
            refuse(EXPECTATION_FAILED);
        }
    }

    private void collect(HttpContent content) {
        ByteBuf bytes = content.content();
        if (body.size() + bytes.readableBytes() > listener.limits().maxBodyBytes()) {
            refuse(PAYLOAD_TOO_LARGE);
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
        Exchange begun =
                new Exchange(
                        request.method().name(),
                        request.uri(),
                        request.headers(),
                        bytes,
                        headNanos,
                        answer -> answered(answer, keepAlive, request.method().name()));
        exchange = begun;
        listener.handler().handle(begun);
    }

    private void answered(Answer answer, boolean keepAlive, String method) {
        exchange = null;
        idleSinceNanos = listener.clock().nanos();
        boolean close = !keepAlive || listener.closing();
        send(answer, close, method.equals("HEAD"));
        if (!close) {
            advance();
        }
    }

    private void refuse(int status) {
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
            lastAnswer = true;
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

    boolean busy() {
        return exchange != null || reading;
    }

    /** Closes the connection if the client has been idle or slow for too long. */
    void checkTimeouts(long nowNanos) {
        ChannelHandlerContext open = context;
        if (open == null || exchange != null || lastAnswer) {
            return;
        }
        ClientLimits limits = listener.limits();
        if (headBegun && nowNanos - headBegunNanos > nanos(limits.headerTimeoutMillis())) {
            refuse(REQUEST_TIMEOUT);
        } else if (reading && nowNanos - headNanos > nanos(limits.idleTimeoutMillis())) {
            refuse(REQUEST_TIMEOUT);
        } else if (!reading && nowNanos - idleSinceNanos > nanos(limits.idleTimeoutMillis())) {
            open.close();
        }
    }

    private static long nanos(long millis) {
        return millis * 1_000_000L;
    }
}
