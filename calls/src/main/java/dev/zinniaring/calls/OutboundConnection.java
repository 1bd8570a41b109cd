package dev.zinniaring.calls;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * An outbound connection to a backend server, a node or the platform, for one request at a time. It
 * detects bytes that do not belong to the answer of its request; a connection on which such bytes
 * arrive is not reused.
 */
final class OutboundConnection extends ChannelInboundHandlerAdapter
        implements ReceiveBudget.Holder {
    /** Maximum number of answers to other requests to skip before the request fails. */
    private static final int MAX_FOREIGN_ANSWERS = 4;

    /** Maximum number of interim answers, such as {@code 102 Processing}, to one request. */
    private static final int MAX_INTERIM_ANSWERS = 8;

    /**
     * Bytes after which an answer must have begun; the decoder skips blank lines without a limit.
     */
    private static final long MAX_UNDECODED_BYTES = 2L * AnswerDecoder.MAX_HEAD_BYTES;

    private static final int FIRST_FINAL_STATUS = 200;

    private final PooledHttpClient client;
    private final InetSocketAddress address;
    private @Nullable AnswerDecoder decoder;
    private @Nullable ChannelHandlerContext context;
    private @Nullable OutboundRequest request;
    private @Nullable ResponseListener listener;
    private @Nullable HttpResponse head;
    private AnswerBody body = new AnswerBody();
    private boolean broken;
    private boolean notReusable;
    private boolean readyForReuse;
    private final CarriedIds carriedIds = new CarriedIds();
    private final long number;
    private String echo = "";
    private String lastId = "";
    private int requests;
    private int foreignAnswers;
    private int interimAnswers;
    private long undecodedBytes;
    private long idleSinceNanos;
    private long keepAliveMillis = KeepAlive.DEFAULT_MILLIS;

    /**
     * Creates a connection.
     *
     * @param number number of the connection, by which logs and the state dump name it
     */
    OutboundConnection(PooledHttpClient client, InetSocketAddress address, long number) {
        this.client = client;
        this.address = address;
        this.number = number;
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

    void send(OutboundRequest sent, ResponseListener answers) {
        ChannelHandlerContext open = context;
        AnswerDecoder decoding = decoder;
        if (open == null || decoding == null || !open.channel().isActive()) {
            answers.onFailure(SendFailure.NOT_SENT, "closed");
            return;
        }
        requests++;
        echo = sent.echo();
        request = sent;
        listener = answers;
        recordId(sent, answers);
        readyForReuse = false;
        foreignAnswers = 0;
        interimAnswers = 0;
        undecodedBytes = 0;
        decoding.expect(sent.method());
        open.writeAndFlush(encode(sent))
                .addListener(
                        written -> {
                            if (!written.isSuccess()) {
                                fail("write-failed");
                            }
                        });
    }

    private void recordId(OutboundRequest sent, ResponseListener answers) {
        String id = id(sent);
        answers.onSend(number, requests, id != null && carriedIds.contains(id));
        lastId = id == null ? "" : id;
        if (id != null) {
            carriedIds.add(id);
        }
    }

    private static @Nullable String id(OutboundRequest sent) {
        return sent.echo().isEmpty() ? null : sent.headers().get(sent.echo());
    }

    /**
     * Returns whether the connection has carried a request with the same id, so that a late answer
     * to that one could be taken for the answer to this one.
     */
    boolean hasCarried(OutboundRequest next) {
        String id = id(next);
        return id != null && carriedIds.contains(id);
    }

    private FullHttpRequest encode(OutboundRequest sent) {
        if (!sent.headers().contains(HttpHeaderNames.HOST)) {
            // RFC 9112, section 3.2: a server answers a request without Host with 400.
            sent.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
        }
        if (sent.body().length > 0 || !bodiless(sent.method())) {
            sent.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, sent.body().length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(sent.method()),
                sent.target(),
                Unpooled.wrappedBuffer(sent.body()),
                sent.headers(),
                EmptyHttpHeaders.INSTANCE);
    }

    private static boolean bodiless(String method) {
        return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE");
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object message) {
        try {
            if (message instanceof HttpObject object) {
                process(object);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Records bytes that the decoder is about to read. */
    void bytesArrived(int bytes) {
        if (listener == null) {
            // Also if they are too few to be decoded, they would precede the next answer.
            notReusable = true;
        }
        undecodedBytes += bytes;
        if (undecodedBytes > MAX_UNDECODED_BYTES) {
            failMalformed();
        }
    }

    private void failMalformed() {
        notReusable = true;
        drop("", 0, DroppedAnswer.MALFORMED);
        fail("malformed-answer");
        close();
    }

    /**
     * Returns whether an answer names its request twice, or has a transfer coding other than
     * chunked, so that its body would be passed on coded.
     */
    private boolean ambiguous(HttpResponse response) {
        HttpHeaders headers = response.headers();
        return (!echo.isEmpty() && headers.getAll(echo).size() > 1) || isTransferCoded(headers);
    }

    private static boolean isTransferCoded(HttpHeaders headers) {
        if (!headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return false;
        }
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.size() > 1
                || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim());
    }

    /** Returns whether a body has a content coding that its request did not ask for. */
    private boolean unexpectedlyEncoded(HttpResponse response) {
        OutboundRequest sent = request;
        return sent != null
                && namesCoding(response.headers(), HttpHeaderNames.CONTENT_ENCODING)
                && !namesCoding(sent.headers(), HttpHeaderNames.ACCEPT_ENCODING);
    }

    private static boolean namesCoding(HttpHeaders headers, CharSequence header) {
        return headers.contains(header)
                && headers.getAll(header).stream()
                        .anyMatch(
                                coding ->
                                        !HttpHeaderValues.IDENTITY.contentEqualsIgnoreCase(coding));
    }

    private void process(HttpObject object) {
        undecodedBytes = 0;
        if (object.decoderResult().isFailure()) {
            failMalformed();
            return;
        }
        if (listener == null) {
            // Bytes after a complete answer belong to no request.
            notReusable = true;
            if (object instanceof HttpResponse response) {
                drop(echoedId(response), response.status().code(), DroppedAnswer.UNREQUESTED);
            }
            close();
            return;
        }
        if (object instanceof HttpResponse response) {
            if (ambiguous(response) || unexpectedlyEncoded(response)) {
                failMalformed();
                return;
            }
            begin(response);
        }
        if (head != null && object instanceof HttpContent content) {
            appendBody(head, content);
        }
    }

    /** Reports an answer that is not taken, to the request that waits if there is one. */
    private void drop(String echoedId, int status, String reason) {
        DroppedAnswer dropped =
                new DroppedAnswer(number, requests, lastId, echoedId, status, reason);
        ResponseListener waiting = listener;
        if (waiting != null) {
            waiting.onDropped(dropped);
        } else {
            client.unrequested(dropped);
        }
    }

    private String echoedId(HttpResponse response) {
        return echo.isEmpty() ? "" : response.headers().get(echo, "");
    }

    private void begin(HttpResponse response) {
        if (response.status().code() < FIRST_FINAL_STATUS) {
            interimAnswers++;
            if (interimAnswers > MAX_INTERIM_ANSWERS) {
                fail("interim-answers");
                close();
            }
            return;
        }
        head = response;
        body = new AnswerBody();
    }

    private void appendBody(HttpResponse response, HttpContent content) {
        long addedBytes = body.append(content.content());
        if (content instanceof LastHttpContent last) {
            if (!echo.isEmpty() && last.trailingHeaders().contains(echo)) {
                // The head of another answer was read as trailers.
                failMalformed();
                return;
            }
            head = null;
            client.receiveBudget().release(this);
            finishAnswer(response);
        } else if (addedBytes > 0) {
            client.receiveBudget().add(this, addedBytes);
        }
    }

    @Override
    public void giveUp() {
        fail("answer-too-large");
        close();
    }

    private void finishAnswer(HttpResponse response) {
        if (broken) {
            // An answer without a length was ended by a connection reset, so it is incomplete.
            fail("answer-cut");
            return;
        }
        AnswerMatch match = match(response);
        if (match != AnswerMatch.OWN) {
            skip(response, match);
            return;
        }
        Answer answer =
                new Answer(response.status().code(), response.headers(), body.toByteArray());
        body = new AnswerBody();
        if (containsSecondAnswer(answer)) {
            failMalformed();
            return;
        }
        if (closeRequested()
                || !HttpUtil.isKeepAlive(response)
                || delimitedByClose(response)
                || lacksEcho(response)) {
            notReusable = true;
        }
        keepAliveMillis = KeepAlive.millis(response.headers(), keepAliveMillis);
        readyForReuse = true;
        ResponseListener waiting = listener;
        listener = null;
        request = null;
        if (waiting != null) {
            waiting.onResponse(answer);
        }
        if (notReusable) {
            close();
        }
    }

    /** Returns whether the body broke off and ran into another answer to the same request. */
    private boolean containsSecondAnswer(Answer answer) {
        String id = request == null ? null : id(request);
        return id != null && AnswerBody.containsAnswer(answer.body(), id);
    }

    private AnswerMatch match(HttpResponse response) {
        OutboundRequest sent = request;
        if (sent == null || sent.echo().isEmpty()) {
            return AnswerMatch.OWN;
        }
        return AnswerMatch.of(
                sent.headers().get(sent.echo()),
                response.headers().get(sent.echo()),
                response.status().code(),
                requests == 1);
    }

    private void skip(HttpResponse response, AnswerMatch match) {
        notReusable = true;
        foreignAnswers++;
        if (match == AnswerMatch.AMBIGUOUS) {
            drop("", response.status().code(), DroppedAnswer.AMBIGUOUS);
            fail("ambiguous-answer");
            close();
            return;
        }
        drop(echoedId(response), response.status().code(), DroppedAnswer.FOREIGN);
        if (foreignAnswers > MAX_FOREIGN_ANSWERS) {
            fail("foreign-answers");
            close();
        }
    }

    /** Returns whether the request asks for a connection that serves no other one. */
    private boolean closeRequested() {
        OutboundRequest sent = request;
        return sent != null
                && sent.headers()
                        .containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    }

    /**
     * Returns whether an answer does not name its request. A second copy of such an answer would be
     * taken for the answer to the next request on the connection.
     */
    private boolean lacksEcho(HttpResponse response) {
        OutboundRequest sent = request;
        return sent != null && !sent.echo().isEmpty() && !response.headers().contains(sent.echo());
    }

    private static boolean delimitedByClose(HttpResponse response) {
        return !HttpUtil.isTransferEncodingChunked(response)
                && !HttpUtil.isContentLengthSet(response);
    }

    /**
     * Returns the connection to the pool. This is deferred to the end of the read, since the same
     * read may contain more bytes after the answer.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext read) {
        AnswerDecoder decoding = decoder;
        if (listener == null && decoding != null && decoding.holdsBytes()) {
            notReusable = true;
        }
        if (listener == null && notReusable) {
            close();
        }
        if (readyForReuse && !notReusable && read.channel().isActive()) {
            readyForReuse = false;
            becomeIdle();
        }
    }

    /** Adds the connection to the pool. */
    void becomeIdle() {
        idleSinceNanos = client.clock().nanos();
        client.addIdle(this);
    }

    @Override
    public void channelActive(ChannelHandlerContext opened) {
        client.opened(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        broken = true;
        fail("connection-broken");
        failed.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
        client.closed(this);
        releaseBody();
        fail("connection-closed");
    }

    private void fail(String reason) {
        ResponseListener waiting = listener;
        listener = null;
        request = null;
        if (waiting != null) {
            notReusable = true;
            waiting.onFailure(SendFailure.BROKEN, reason);
        }
    }

    /** Returns whether the connection can be reused for another request. */
    boolean usable(long nowNanos, int maxIdleMillis) {
        ChannelHandlerContext open = context;
        return open != null
                && open.channel().isActive()
                && !notReusable
                && !expired(nowNanos)
                && nowNanos - idleSinceNanos <= maxIdleMillis * 1_000_000L;
    }

    /** Returns whether the connection was closed before a request was sent on it. */
    boolean closedUnused() {
        ChannelHandlerContext open = context;
        return requests == 0 && (open == null || !open.channel().isActive());
    }

    /** Returns whether the connection has been idle for longer than the keep-alive time. */
    boolean expired(long nowNanos) {
        return nowNanos - idleSinceNanos > keepAliveMillis * 1_000_000L;
    }

    /** Abandons the request in flight and closes the connection. */
    void abandon() {
        listener = null;
        request = null;
        notReusable = true;
        close();
    }

    void close() {
        notReusable = true;
        releaseBody();
        ChannelHandlerContext open = context;
        if (open != null) {
            open.close();
        }
    }

    private void releaseBody() {
        client.receiveBudget().release(this);
        head = null;
        body = new AnswerBody();
    }
}
