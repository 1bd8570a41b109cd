package dev.zinniaring.calls;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * An inbound connection of a listener. It reads while requests are being handled, so that a
 * disconnect is detected immediately. What a client sends while too much is unanswered is not
 * decoded, and read only as far as {@link ReadAhead} has room. {@link RequestPipeline} decides
 * which requests run and which answer is sent next.
 */
final class InboundConnection extends ChannelInboundHandlerAdapter
        implements RequestReader.Listener {
    private static final int REQUEST_TIMEOUT = 408;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Wait for memory after which a request is refused, so that it can be sent elsewhere. */
    private static final long MAX_MEMORY_WAIT_MILLIS = 500;

    private static final String MEMORY_RETRY_SECONDS = "0.2";

    /** Progress of a body between two checks below which it must not keep others waiting. */
    private static final int MIN_PROGRESS_BYTES = 16 * 1024;

    /** Consecutive checks without that progress after which a body is refused. */
    private static final int MAX_SLOW_CHECKS = 2;

    /** Time in which a client is expected to read the last answer and to close the connection. */
    private static final long LINGER_MILLIS = 1_000;

    private final HttpListener listener;
    private final RequestReader reader;
    private final RequestPipeline<Exchange, Answer> pipeline = new RequestPipeline<>();
    private final ReadAhead readAhead = new ReadAhead(this::bytesArrived);
    private final IdentityHashMap<Exchange, BodyBudget.Claim> claims = new IdentityHashMap<>();
    private final HeadClaims heads = new HeadClaims();
    private @Nullable ChannelHandlerContext context;
    private BodyBudget.@Nullable Claim readingClaim;
    private int checkedBodyBytes;
    private int slowChecks;
    private boolean headStarted;
    private long headStartedNanos;
    private boolean lastRequestRead;
    private boolean continueExpected;
    private boolean closing;

    /** Answers that were passed to the channel and are not yet written to the socket whole. */
    private final Set<Exchange> unsentAnswers = new HashSet<>();

    private long idleSinceNanos;
    private boolean advancing;
    private boolean startPending;

    InboundConnection(HttpListener listener) {
        this.listener = listener;
        this.reader = new RequestReader(listener.clock(), listener::limits, this);
    }

    @Override
    public void channelActive(ChannelHandlerContext opened) {
        context = opened;
        idleSinceNanos = listener.clock().nanos();
        listener.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
        closing = true;
        listener.closed(this, pipeline.bytes());
        pipeline.cancel().forEach(Exchange::cancel);
        claims.values().forEach(BodyBudget.Claim::release);
        claims.clear();
        heads.releaseAll();
        releaseReadingClaim();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        failed.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object message) {
        try {
            if (message instanceof HttpObject object && !lastRequestRead) {
                reader.read(object);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext read) {
        updateReading();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        updateReading();
        advance();
    }

    ReadAhead readAhead() {
        return readAhead;
    }

    /** Records when the head of the next request starts to arrive. */
    private void bytesArrived() {
        if (!reader.readingBody() && !headStarted) {
            headStarted = true;
            headStartedNanos = listener.clock().nanos();
        }
    }

    @Override
    public void onContinueExpected() {
        headStarted = false;
        continueExpected = true;
        advance();
    }

    @Override
    public BodyBudget.Claim claim(long bytes) {
        BodyBudget.Claim claim = listener.bodies().claim(bytes, this::updateReading);
        readingClaim = claim;
        checkedBodyBytes = 0;
        slowChecks = 0;
        updateReading();
        return claim;
    }

    /** Starts to count the memory for a head that is about to be decoded, or for its trailers. */
    HeadBudget.Claim claimHead() {
        return heads.add(listener.heads().claim());
    }

    private void releaseReadingClaim() {
        BodyBudget.Claim claim = readingClaim;
        readingClaim = null;
        if (claim != null) {
            claim.release();
        }
    }

    private boolean waitsForMemory() {
        BodyBudget.Claim claim = readingClaim;
        return claim != null && claim.waiting();
    }

    @Override
    public void onRequest(HttpRequest head, byte[] body, long headReadNanos) {
        headStarted = false;
        continueExpected = false;
        lastRequestRead = !HttpUtil.isKeepAlive(head);
        PendingAnswer pending = new PendingAnswer();
        Exchange exchange =
                new Exchange(
                        head.method().name(),
                        head.uri(),
                        head.headers(),
                        body,
                        headReadNanos,
                        pending);
        pending.entry =
                pipeline.add(
                        exchange,
                        listener.handler().repeatable(exchange),
                        lastRequestRead,
                        body.length);
        heads.read(exchange);
        listener.addReadBytes(body.length);
        BodyBudget.Claim claim = readingClaim;
        if (claim != null) {
            claims.put(exchange, claim);
            readingClaim = null;
        }
        if (listener.handler().queued(exchange)) {
            queueStart();
        } else {
            startAndAdvance();
        }
    }

    private void queueStart() {
        if (!startPending) {
            startPending = true;
            listener.starts().add(this::startUnlessLeft);
        }
    }

    /** Starts the requests that may run, unless the client has left since they were read. */
    private void startUnlessLeft() {
        startPending = false;
        ChannelHandlerContext open = context;
        if (open != null && open.channel().isActive()) {
            startAndAdvance();
        }
    }

    private void startAndAdvance() {
        if (!advancing && !closing) {
            advancing = true;
            try {
                startRequests();
            } finally {
                advancing = false;
            }
        }
        advance();
    }

    @Override
    public void onRejected(int status) {
        headStarted = false;
        continueExpected = false;
        lastRequestRead = true;
        releaseReadingClaim();
        heads.releaseUnread();
        pipeline.addRejected(Exchange.unread(listener.clock().nanos()), rejection(status));
        advance();
    }

    private static Answer rejection(int status) {
        Answer answer = Answer.of(status);
        if (status == SERVICE_UNAVAILABLE) {
            answer.headers().set("Retry-After", MEMORY_RETRY_SECONDS);
            answer.headers()
                    .set(HopHeaders.OUTCOME, OwnerResult.Outcome.NOT_RUN.headerValue())
                    .set(HopHeaders.REASON, "no-memory");
        }
        return answer;
    }

    /** Sends the answers whose turn it is; the requests behind them may then start. */
    private void advance() {
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            boolean sent = false;
            while (!closing && sendNext()) {
                sent = true;
            }
            if (!closing && writable() && pipeline.mayStart()) {
                queueStart();
            }
            if (continueExpected && pipeline.isEmpty() && !closing) {
                continueExpected = false;
                write(interim());
                sent = true;
            }
            ChannelHandlerContext open = context;
            if (sent && open != null) {
                open.flush();
                updateReading();
            }
        } finally {
            advancing = false;
        }
    }

    private void startRequests() {
        while (writable()) {
            RequestPipeline.Entry<Exchange, Answer> next = pipeline.start();
            if (next == null) {
                return;
            }
            listener.handler().handle(next.request());
        }
    }

    /** Returns whether the client reads its answers. */
    private boolean writable() {
        ChannelHandlerContext open = context;
        return open != null && open.channel().isWritable();
    }

    private boolean sendNext() {
        RequestPipeline.Turn<Exchange, Answer> turn = pipeline.next(listener.draining());
        if (turn == null) {
            return false;
        }
        listener.addReadBytes(-turn.request().body().length);
        heads.release(turn.request());
        BodyBudget.Claim claim = claims.remove(turn.request());
        if (claim != null) {
            claim.release();
        }
        idleSinceNanos = listener.clock().nanos();
        send(turn.request(), turn.answer(), turn.close());
        return true;
    }

    private void send(Exchange exchange, Answer answer, boolean close) {
        boolean headOnly = exchange.method().equals("HEAD");
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(answer.status()),
                        headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(answer.body()),
                        answer.headers(),
                        EmptyHttpHeaders.INSTANCE);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ChannelFuture written = write(response);
        if (written != null) {
            unsentAnswers.add(exchange);
            written.addListener(sent -> unsentAnswers.remove(exchange));
        }
        if (close) {
            dropUnstarted();
            if (written != null) {
                written.addListener(sent -> closeGracefully());
            }
        }
    }

    /**
     * Closes the sending side, and the connection once the client has closed it too (RFC 9112,
     * section 9.6). Closing it at once would reset it if the client has sent more, and a reset may
     * discard the last answer before the client has read it.
     */
    private void closeGracefully() {
        ChannelHandlerContext open = context;
        if (open == null || !open.channel().isActive()) {
            return;
        }
        if (open.channel() instanceof SocketChannel socket) {
            socket.shutdownOutput();
        }
        open.executor().schedule(() -> open.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Drops what was read behind the last answer. The client sends those requests again. */
    private void dropUnstarted() {
        closing = true;
        lastRequestRead = true;
        listener.addReadBytes(-pipeline.bytes());
        pipeline.dropUnstarted();
    }

    private static FullHttpResponse interim() {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    }

    private @Nullable ChannelFuture write(FullHttpResponse response) {
        ChannelHandlerContext open = context;
        if (open == null || !open.channel().isActive()) {
            response.release();
            return null;
        }
        return open.write(response);
    }

    /** Stops decoding requests while there is no room for them, and resumes it afterwards. */
    void updateReading() {
        boolean manyUnanswered =
                !pipeline.isEmpty() && (pipeline.full() || listener.readAheadFull() || !writable());
        readAhead.pause(!closing && (waitsForMemory() || manyUnanswered));
    }

    /** Returns the number of requests that are being read or whose answers are not yet sent. */
    int inFlight() {
        return pipeline.size() + unsentAnswers.size() + (reader.readingBody() ? 1 : 0);
    }

    /** Returns the requests that are being handled or whose answers are not yet sent whole. */
    List<Exchange> unanswered() {
        List<Exchange> unanswered = new ArrayList<>(pipeline.running());
        unanswered.addAll(unsentAnswers);
        return unanswered;
    }

    /**
     * Enforces the timeouts: rejects a request whose head or body arrives too slowly with status
     * 408, and closes an idle connection.
     */
    void checkTimeouts(long nowNanos) {
        ChannelHandlerContext open = context;
        if (open == null || lastRequestRead) {
            return;
        }
        if (waitsForMemory()) {
            if (nowNanos - reader.headReadNanos() > nanos(MAX_MEMORY_WAIT_MILLIS)) {
                reader.reject(SERVICE_UNAVAILABLE);
            }
            return;
        }
        if (readAhead.paused()) {
            return;
        }
        if (delaysOthers()) {
            reader.reject(SERVICE_UNAVAILABLE);
            return;
        }
        ClientLimits limits = listener.limits();
        if (reader.readingBody()) {
            if (nowNanos - reader.headReadNanos() > nanos(limits.idleTimeoutMillis())) {
                reader.reject(REQUEST_TIMEOUT);
            }
        } else if (headStarted) {
            if (nowNanos - headStartedNanos > nanos(limits.headerTimeoutMillis())) {
                reader.reject(REQUEST_TIMEOUT);
            }
        } else if (pipeline.isEmpty()
                && nowNanos - idleSinceNanos > nanos(limits.idleTimeoutMillis())) {
            open.close();
        }
    }

    /** Returns whether a slow client holds memory for which the bodies of others wait. */
    private boolean delaysOthers() {
        BodyBudget.Claim claim = readingClaim;
        int readBytes = reader.bodyBytes();
        boolean slow = readBytes - checkedBodyBytes < MIN_PROGRESS_BYTES;
        checkedBodyBytes = readBytes;
        slowChecks = slow ? slowChecks + 1 : 0;
        return claim != null
                && claim.isLong()
                && listener.bodies().contended()
                && slowChecks >= MAX_SLOW_CHECKS;
    }

    private static long nanos(long millis) {
        return millis * 1_000_000L;
    }

    /** Passes the answer of a request on to the pipeline. */
    private final class PendingAnswer implements Consumer<Answer> {
        private RequestPipeline.@Nullable Entry<Exchange, Answer> entry;

        @Override
        public void accept(Answer answer) {
            RequestPipeline.Entry<Exchange, Answer> answered = entry;
            if (answered != null && !closing) {
                pipeline.answered(answered, answer);
                advance();
            }
        }
    }
}
