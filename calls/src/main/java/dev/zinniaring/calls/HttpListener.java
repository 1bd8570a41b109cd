package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Accepts HTTP/1.1 connections and passes each request to a handler once it has been read in full.
 *
 * <pre>{@code
 * HttpListener listener = new HttpListener(loop, clock, limits, calls::handle);
 * listener.start(address);
 * }</pre>
 */
public final class HttpListener {
    /** Upper bound on the memory for one request head, whatever limit is configured. */
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    /** Interval between checks of the header and idle timeouts. */
    private static final long TIMEOUT_CHECK_MILLIS = 250;

    private static final int ACCEPT_BACKLOG = 1_024;

    /** Largest read from a socket; bounds the memory for a connection that has to wait. */
    static final int MAX_RECEIVE_BYTES = 16 * 1024;

    /** Reads of a connection a round, so that one with a long body does not delay the others. */
    private static final int MAX_READS = 16;

    private static final int MIN_RECEIVE_BYTES = 64;
    private static final int FIRST_RECEIVE_BYTES = 2 * 1024;

    /**
     * Body bytes of the unanswered requests of all connections beyond which no pipelined requests
     * are read.
     */
    private static final long MAX_READ_BYTES = 2L * 1024 * 1024;

    private final EventLoopGroup loop;
    private final Clock clock;
    private final Supplier<ClientLimits> limits;
    private final ExchangeHandler handler;
    private final BodyBudget budget;
    private final BodyBudget.Share bodies;
    private final HeadBudget heads;
    private final StartQueue starts;
    private final Set<InboundConnection> connections = new HashSet<>();
    private @Nullable Channel channel;
    private boolean draining;
    private long readBytes;

    /**
     * Creates a listener.
     *
     * @param loop event loop group with a single thread, on which the handler is called
     * @param limits returns the current client limits
     */
    public HttpListener(
            EventLoopGroup loop,
            Clock clock,
            Supplier<ClientLimits> limits,
            ExchangeHandler handler) {
        this(loop, clock, limits, handler, BodyBudget.ofHeap(Runtime.getRuntime().maxMemory()));
    }

    /** Creates a listener that keeps the bodies of requests within a budget. */
    HttpListener(
            EventLoopGroup loop,
            Clock clock,
            Supplier<ClientLimits> limits,
            ExchangeHandler handler,
            BodyBudget budget) {
        this(
                loop,
                clock,
                limits,
                handler,
                budget,
                HeadBudget.ofHeap(Runtime.getRuntime().maxMemory()),
                startQueue(loop, clock));
    }

    private HttpListener(
            EventLoopGroup loop,
            Clock clock,
            Supplier<ClientLimits> limits,
            ExchangeHandler handler,
            BodyBudget budget,
            HeadBudget heads,
            StartQueue starts) {
        this.loop = loop;
        this.clock = clock;
        this.limits = limits;
        this.handler = handler;
        this.budget = budget;
        this.bodies = budget.share();
        this.heads = heads;
        this.starts = starts;
    }

    /** Scheduled tasks run after the loop's next reads, tasks without a delay before them. */
    private static StartQueue startQueue(EventLoopGroup loop, Clock clock) {
        return new StartQueue(clock, slice -> loop.schedule(slice, 0, TimeUnit.NANOSECONDS));
    }

    /**
     * Returns another listener, which shares the budgets for heads and bodies and the queue of
     * requests to start with this one.
     */
    public HttpListener sibling(Supplier<ClientLimits> siblingLimits, ExchangeHandler calls) {
        return new HttpListener(loop, clock, siblingLimits, calls, budget, heads, starts);
    }

    /** Sets the action to run for each request that is refused for want of memory for its head. */
    public void onHeadRefused(Runnable action) {
        heads.onRefusal(action);
    }

    /** Sets the action that receives how long each queued request waited, in nanoseconds. */
    public void onStart(LongConsumer action) {
        starts.onStart(action);
    }

    /**
     * Binds the address and starts to accept connections.
     *
     * @throws KernelException if the address cannot be bound
     */
    public void start(InetSocketAddress address) throws KernelException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.RCVBUF_ALLOCATOR, readingToTheEnd())
                        .childHandler(new ConnectionInitializer());
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new KernelException(
                    "cannot listen on %s: %s"
                            .formatted(Addresses.text(address), bound.cause().getMessage()),
                    bound.cause());
        }
        channel = bound.channel();
        loop.scheduleAtFixedRate(
                this::checkTimeouts,
                TIMEOUT_CHECK_MILLIS,
                TIMEOUT_CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns an allocator with which a connection is read until nothing is left. By default, the
     * end behind a short read would be found one round of the event loop later.
     */
    private static AdaptiveRecvByteBufAllocator readingToTheEnd() {
        AdaptiveRecvByteBufAllocator allocator =
                new AdaptiveRecvByteBufAllocator(
                        MIN_RECEIVE_BYTES, FIRST_RECEIVE_BYTES, MAX_RECEIVE_BYTES);
        allocator.respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS);
        return allocator;
    }

    /**
     * Returns the local address to which the listener is bound.
     *
     * @throws IllegalStateException if the listener has not been started
     */
    public InetSocketAddress address() {
        Channel open = channel;
        if (open == null) {
            throw new IllegalStateException("the listener has not been started");
        }
        return (InetSocketAddress) open.localAddress();
    }

    /**
     * Starts draining: each connection is closed after its next response behind which no request is
     * being handled; that response carries {@code Connection: close}.
     */
    public void drain() {
        draining = true;
    }

    /**
     * Returns the number of requests that are being read or whose answers are not yet sent whole.
     * Must be called on the event loop.
     */
    public int inFlight() {
        int count = 0;
        for (InboundConnection connection : connections) {
            count += connection.inFlight();
        }
        return count;
    }

    /**
     * Returns the requests that are being handled or whose answers are not yet sent whole. Must be
     * called on the event loop.
     */
    public List<Exchange> unanswered() {
        return connections.stream().flatMap(each -> each.unanswered().stream()).toList();
    }

    /** Returns the number of open connections. Must be called on the event loop. */
    public int connections() {
        return connections.size();
    }

    /** Stops accepting connections; established connections stay open. */
    public void stop() {
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }

    boolean draining() {
        return draining;
    }

    ClientLimits limits() {
        return limits.get();
    }

    Clock clock() {
        return clock;
    }

    BodyBudget.Share bodies() {
        return bodies;
    }

    HeadBudget heads() {
        return heads;
    }

    StartQueue starts() {
        return starts;
    }

    ExchangeHandler handler() {
        return handler;
    }

    void opened(InboundConnection connection) {
        connections.add(connection);
    }

    void closed(InboundConnection connection, long unansweredBytes) {
        connections.remove(connection);
        addReadBytes(-unansweredBytes);
    }

    /**
     * Adds to the body bytes of unanswered requests; lets connections read again if few are left.
     */
    void addReadBytes(long bytes) {
        boolean wasFull = readAheadFull();
        readBytes += bytes;
        if (wasFull && !readAheadFull()) {
            loop.execute(() -> List.copyOf(connections).forEach(InboundConnection::updateReading));
        }
    }

    /** Returns whether connections with unanswered requests should read no more for now. */
    boolean readAheadFull() {
        return readBytes > MAX_READ_BYTES;
    }

    private void checkTimeouts() {
        long nowNanos = clock.nanos();
        for (InboundConnection connection : List.copyOf(connections)) {
            connection.checkTimeouts(nowNanos);
        }
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel socket) {
            int maxHeadBytes = Math.min(MAX_HEAD_BYTES, limits().maxHeaderBytes());
            HttpDecoderConfig config =
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(maxHeadBytes)
                            .setMaxHeaderSize(maxHeadBytes);
            InboundConnection connection = new InboundConnection(HttpListener.this);
            socket.pipeline()
                    .addLast(
                            connection.readAhead(),
                            new RequestDecoder(
                                    config, RequestHeaders.factory(connection::claimHead)),
                            new HttpResponseEncoder(),
                            connection);
        }
    }
}
