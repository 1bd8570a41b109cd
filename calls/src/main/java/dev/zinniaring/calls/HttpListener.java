package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Listens for HTTP/1.1 requests and hands each to a handler once it is here whole.
 *
 * <pre>{@code
 * HttpListener listener = new HttpListener(loop, clock, limits, calls::handle);
 * listener.start(address);
 * }</pre>
 */
public final class HttpListener {
    /** Bounds what one head can take of memory, whatever the limits of the configuration are. */
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    /** The idle time-outs are checked this often. */
    private static final long SWEEP_MILLIS = 250;

    private static final int BACKLOG = 1_024;

    private final EventLoopGroup loop;
    private final Clock clock;
    private final Supplier<ClientLimits> limits;
    private final ExchangeHandler handler;
    private final Set<ServerConnection> connections = new HashSet<>();
    private @Nullable Channel channel;
    private boolean closing;

    /** Creates a listener; its handler is called on {@code loop}, which has one thread. */
    public HttpListener(
            EventLoopGroup loop,
            Clock clock,
            Supplier<ClientLimits> limits,
            ExchangeHandler handler) {
        this.loop = loop;
        this.clock = clock;
        this.limits = limits;
        this.handler = handler;
    }

    /**
     * Opens the port.
     *
     * @throws KernelException if the address cannot be listened at
     */
    public void start(InetSocketAddress address) throws KernelException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new Connections());
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new KernelException(
                    "cannot listen at %s: %s"
                            .formatted(Addresses.text(address), bound.cause().getMessage()),
                    bound.cause());
        }
        channel = bound.channel();
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the address at which the port is open. */
    public InetSocketAddress address() {
        Channel open = channel;
        if (open == null) {
            throw new IllegalStateException("the listener has not been started");
        }
        return (InetSocketAddress) open.localAddress();
    }

    /** Asks clients to close their connections: each answer from now on is the last of its own. */
    public void drain() {
        closing = true;
    }

    /** Returns the number of requests that have no answer yet. Runs on the event loop. */
    public int inFlight() {
        int count = 0;
        for (ServerConnection connection : connections) {
            count += connection.busy() ? 1 : 0;
        }
        return count;
    }

    /** Returns the number of open connections. Runs on the event loop. */
    public int connections() {
        return connections.size();
    }

    /** Closes the port; connections stay open. */
    public void stop() {
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }

    boolean closing() {
        return closing;
    }

    ClientLimits limits() {
        return limits.get();
    }

    Clock clock() {
        return clock;
    }

    ExchangeHandler handler() {
        return handler;
    }

    void opened(ServerConnection connection) {
        connections.add(connection);
    }

    void closed(ServerConnection connection) {
        connections.remove(connection);
    }

    private void sweep() {
        long nowNanos = clock.nanos();
        for (ServerConnection connection : List.copyOf(connections)) {
            connection.checkTimeouts(nowNanos);
        }
    }

    private final class Connections extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel socket) {
            int maxHeadBytes = Math.min(MAX_HEAD_BYTES, limits().maxHeaderBytes());
            HttpDecoderConfig config =
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(maxHeadBytes)
                            .setMaxHeaderSize(maxHeadBytes);
            ServerConnection connection = new ServerConnection(HttpListener.this);
            socket.pipeline()
                    .addLast(
                            new Arrivals(connection),
                            new HttpRequestDecoder(config),
                            new HttpResponseEncoder(),
                            connection);
        }
    }

    /** Tells a connection of bytes that need not complete a head yet. */
    private static final class Arrivals extends ChannelInboundHandlerAdapter {
        private final ServerConnection connection;

        Arrivals(ServerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.bytesArrived();
            context.fireChannelRead(message);
        }
    }
}
