package dev.zinniaring.calls;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a backend server, a node or the platform, for one request at a time. It tells an
 * answer to its request from bytes that belong to none, and is closed after any of those.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Answers to other requests that are skipped before the connection is given up. */
    private static final int MAX_FOREIGN_ANSWERS = 4;

    private static final int MAX_ANSWER_BYTES = 32 * 1024 * 1024;
    private static final int FIRST_FINAL_STATUS = 200;

    /** Kept connections are closed this long before the server would close them. */
    private static final long KEEP_ALIVE_MARGIN_MILLIS = 1_000;

    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 8_000;
    private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    private final HttpSender sender;
    private final InetSocketAddress address;
    private @Nullable AnswerDecoder decoder;
    private @Nullable ChannelHandlerContext context;
    private @Nullable Outbound request;
    private @Nullable SendListener listener;
    private @Nullable HttpResponse head;
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private boolean broken;
    private boolean spoiled;
    private boolean free;
    private int foreignAnswers;
    private long idleSinceNanos;
    private long keepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS;

    ClientConnection(HttpSender sender, InetSocketAddress address) {
        this.sender = sender;
        this.address = address;
    }

    void decodeWith(AnswerDecoder answers) {
        decoder = answers;
    }

    InetSocketAddress address() {
        return address;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    void send(Outbound sent, SendListener answers) {
        ChannelHandlerContext open = context;
        AnswerDecoder decoding = decoder;
        if (open == null || decoding == null || !open.channel().isActive()) {
            answers.failed(SendFailure.NOT_SENT, "closed");
            return;
        }
        request = sent;
        listener = answers;
        free = false;
        foreignAnswers = 0;
        decoding.expect(sent.method());
        open.writeAndFlush(encode(sent))
                .addListener(
                        written -> {
                            if (!written.isSuccess()) {
                                fail("write-failed");
                            }
                        });
    }

    private static FullHttpRequest encode(Outbound sent) {
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(sent.method()),
                        sent.target(),
                        Unpooled.wrappedBuffer(sent.body()));
        message.headers().set(sent.headers());
        if (sent.body().length > 0 || !bodiless(sent.method())) {
            message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, sent.body().length);
        }
        return message;
    }

    private static boolean bodiless(String method) {
        return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE");
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object message) {
        try {
            if (message instanceof HttpObject piece) {
                take(piece);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void take(HttpObject piece) {
        if (piece.decoderResult().isFailure()) {
            spoiled = true;
            fail("malformed-answer");
            close();
            return;
        }
        if (listener == null) {
            // Bytes after a whole answer belong to no request.
            spoiled = true;
            close();
            return;
        }
        if (piece instanceof HttpResponse response
                && response.status().code() >= FIRST_FINAL_STATUS) {
            head = response;
            body = new ByteArrayOutputStream(0);
        }
        if (head != null && piece instanceof HttpContent content) {
            collect(head, content);
        }
    }

    private void collect(HttpResponse response, HttpContent content) {
        ByteBuf bytes = content.content();
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        body.write(copy, 0, copy.length);
        if (body.size() > MAX_ANSWER_BYTES) {
            fail("answer-too-large");
            close();
        } else if (content instanceof LastHttpContent) {
            head = null;
            finish(response);
        }
    }

    private void finish(HttpResponse response) {
        if (broken) {
            // The end of an answer without a length, but by a reset.
            fail("answer-cut");
            return;
        }
        if (foreign(response)) {
            spoiled = true;
            foreignAnswers++;
            if (foreignAnswers > MAX_FOREIGN_ANSWERS) {
                fail("foreign-answers");
                close();
            }
            return;
        }
        Answer answer =
                new Answer(response.status().code(), response.headers(), body.toByteArray());
        body = new ByteArrayOutputStream(0);
        if (!HttpUtil.isKeepAlive(response) || endless(response)) {
            spoiled = true;
        }
        readKeepAlive(response);
        free = true;
        SendListener waiting = listener;
        listener = null;
        request = null;
        if (waiting != null) {
            waiting.answered(answer);
        }
        if (spoiled) {
            close();
        }
    }

    /** Returns whether an answer belongs to another request, which its id shows. */
    private boolean foreign(HttpResponse response) {
        Outbound sent = request;
        if (sent == null || sent.echo().isEmpty()) {
            return false;
        }
        String expected = sent.headers().get(sent.echo());
        String echoed = response.headers().get(sent.echo());
        if (echoed == null) {
            return response.status().code() < 400;
        }
        return !echoed.equals(expected);
    }

    private static boolean endless(HttpResponse response) {
        return !HttpUtil.isTransferEncodingChunked(response)
                && !HttpUtil.isContentLengthSet(response);
    }

    private void readKeepAlive(HttpResponse response) {
        String value = response.headers().get("Keep-Alive");
        if (value == null) {
            return;
        }
        Matcher matcher = TIMEOUT.matcher(value.toLowerCase(Locale.ROOT));
        if (matcher.find()) {
            keepAliveMillis = Long.parseLong(matcher.group(1)) * 1_000 - KEEP_ALIVE_MARGIN_MILLIS;
        }
    }

    /** The connection is kept only after the whole read, in which more bytes may have come. */
    @Override
    public void channelReadComplete(ChannelHandlerContext read) {
        if (free && !spoiled && read.channel().isActive()) {
            free = false;
            idleSinceNanos = sender.clock().nanos();
            sender.keep(this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        broken = true;
        fail("connection-broken");
        failed.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
        sender.drop(this);
        fail("connection-closed");
    }

    private void fail(String reason) {
        SendListener waiting = listener;
        listener = null;
        request = null;
        if (waiting != null) {
            spoiled = true;
            waiting.failed(SendFailure.BROKEN, reason);
        }
    }

    boolean usable(long nowNanos, int maxIdleMillis) {
        ChannelHandlerContext open = context;
        return open != null
                && open.channel().isActive()
                && !spoiled
                && !expired(nowNanos)
                && nowNanos - idleSinceNanos <= maxIdleMillis * 1_000_000L;
    }

    boolean expired(long nowNanos) {
        return nowNanos - idleSinceNanos > keepAliveMillis * 1_000_000L;
    }

    /** Gives up the request that is under way, by closing the connection. */
    void abandon() {
        listener = null;
        request = null;
        spoiled = true;
        close();
    }

    void close() {
        spoiled = true;
        ChannelHandlerContext open = context;
        if (open != null) {
            open.close();
        }
    }
}
