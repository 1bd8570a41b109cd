package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client with a pool of keep-alive connections. Each request is sent at most once; there are
 * no automatic retries. Must be used on its event loop.
 *
 * <pre>{@code
 * PooledHttpClient client = new PooledHttpClient(group, clock);
 * PooledHttpClient.Sending sending = client.send(address, request, listener);
 * sending.cancel();
 * }</pre>
 */
public final class PooledHttpClient {
    /** Failure reason if no connection could be opened. */
    static final String CONNECT_FAILED = "connect-failed";

    private final EventLoop loop;
    private final Clock clock;
    private final Map<InetSocketAddress, Deque<OutboundConnection>> idle = new HashMap<>();
    private final Map<InetSocketAddress, Integer> openConnections = new HashMap<>();
    private final ReceiveBudget receiveBudget = new ReceiveBudget();
    private Consumer<DroppedAnswer> unrequestedListener = dropped -> {};
    private long connections;

    /** Creates a client that runs on the event loop of a group with a single thread. */
    public PooledHttpClient(EventLoopGroup group, Clock clock) {
        this.loop = group.next();
        this.clock = clock;
    }

    /** Sets the action that receives the answers that arrive while no request is waiting. */
    void onUnrequested(Consumer<DroppedAnswer> action) {
        unrequestedListener = action;
    }

    /** Reports an answer that arrived while no request was waiting. */
    void unrequested(DroppedAnswer dropped) {
        unrequestedListener.accept(dropped);
    }

    private OutboundConnection create(InetSocketAddress address) {
        connections++;
        return new OutboundConnection(this, address, connections);
    }

    /** Handle of a request in flight. */
    public interface Sending {
        /** Cancels the request: closes its connection; the listener is not called any more. */
        void cancel();
    }

    /** Sends a request; the listener receives the answer or the failure on the event loop. */
    public Sending send(
            InetSocketAddress address, OutboundRequest request, ResponseListener listener) {
        PendingRequest pending = new PendingRequest(address, request, listener);
        pending.start();
        return pending;
    }

    /**
     * Opens a connection and adds it to the pool.
     *
     * @param connectMillis connect timeout, in milliseconds
     * @param result receives the connection, or null if it could not be opened
     */
    void open(
            InetSocketAddress address,
            int connectMillis,
            Consumer<@Nullable OutboundConnection> result) {
        OutboundConnection created = create(address);
        connect(created, connectMillis)
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                created.becomeIdle();
                            }
                            result.accept(done.isSuccess() ? created : null);
                        });
    }

    private ChannelFuture connect(OutboundConnection created, int connectMillis) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, connectMillis))
                .handler(new PipelineInitializer(created))
                .connect(created.address());
    }

    /** Returns the number of open connections to an address, idle and in use. */
    int openConnections(InetSocketAddress address) {
        return openConnections.getOrDefault(address, 0);
    }

    /** Records that a connection was opened. */
    void opened(OutboundConnection connection) {
        openConnections.merge(connection.address(), 1, Integer::sum);
    }

    /** Records that a connection was closed, by either side. */
    void closed(OutboundConnection connection) {
        removeIdle(connection);
        openConnections.computeIfPresent(
                connection.address(), (address, count) -> count > 1 ? count - 1 : null);
    }

    /** Closes the idle connections to an address that may have become unreachable. */
    public void closeIdleConnections(InetSocketAddress address) {
        Deque<OutboundConnection> pooled = idle.remove(address);
        if (pooled != null) {
            new ArrayList<>(pooled).forEach(OutboundConnection::close);
        }
    }

    /**
     * Closes connections that have been idle for longer than the server's keep-alive time. To be
     * called periodically.
     */
    public void closeExpiredConnections() {
        long nowNanos = clock.nanos();
        for (Deque<OutboundConnection> pooled : List.copyOf(idle.values())) {
            for (OutboundConnection connection : List.copyOf(pooled)) {
                if (connection.expired(nowNanos)) {
                    pooled.remove(connection);
                    connection.close();
                }
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }

    /** Returns a connection to the pool. */
    void addIdle(OutboundConnection connection) {
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
                .addFirst(connection);
    }

    private void removeIdle(OutboundConnection connection) {
        Deque<OutboundConnection> pooled = idle.get(connection.address());
        if (pooled != null) {
            pooled.remove(connection);
        }
    }

    Clock clock() {
        return clock;
    }

    EventLoop loop() {
        return loop;
    }

    ReceiveBudget receiveBudget() {
        return receiveBudget;
    }

    private final class PendingRequest implements Sending, ResponseListener {
        private final InetSocketAddress address;
        private final OutboundRequest request;
        private final ResponseListener listener;
        private @Nullable Future<?> timeout;
        private @Nullable OutboundConnection connection;
        private @Nullable Channel connecting;
        private boolean ended;

        PendingRequest(
                InetSocketAddress address, OutboundRequest request, ResponseListener listener) {
            this.address = address;
            this.request = request;
            this.listener = listener;
        }

        void start() {
            timeout =
                    loop.schedule(
                            this::timedOut,
                            Math.max(1, request.timeoutMillis()),
                            TimeUnit.MILLISECONDS);
            OutboundConnection pooled = takeIdle();
            if (pooled == null) {
                connect();
            } else {
                use(pooled);
            }
        }

        private @Nullable OutboundConnection takeIdle() {
            Deque<OutboundConnection> pooled = idle.get(address);
            if (pooled == null) {
                return null;
            }
            long nowNanos = clock.nanos();
            List<OutboundConnection> carriers = new ArrayList<>(0);
            OutboundConnection taken = null;
            while (taken == null && !pooled.isEmpty()) {
                OutboundConnection next = pooled.remove();
                if (!next.usable(nowNanos, request.maxIdleMillis())) {
                    next.close();
                } else if (next.hasCarried(request)) {
                    carriers.add(next);
                } else {
                    taken = next;
                }
            }
            if (taken == null && !carriers.isEmpty()) {
                // A new connection takes its place, so that their number does not grow.
                carriers.remove(carriers.size() - 1).close();
            }
            for (int i = carriers.size() - 1; i >= 0; i--) {
                pooled.addFirst(carriers.get(i));
            }
            return taken;
        }

        private void connect() {
            OutboundConnection created = create(address);
            ChannelFuture opening = PooledHttpClient.this.connect(created, request.connectMillis());
            connecting = opening.channel();
            opening.addListener(done -> connected(created, opening));
        }

        private void connected(OutboundConnection created, ChannelFuture opening) {
            connecting = null;
            if (!opening.isSuccess()) {
                onFailure(SendFailure.NOT_SENT, CONNECT_FAILED);
            } else if (ended) {
                created.close();
            } else {
                use(created);
            }
        }

        private void use(OutboundConnection ready) {
            connection = ready;
            ready.send(request, this);
        }

        private void timedOut() {
            boolean sent = connection != null;
            cancelConnection();
            onFailure(sent ? SendFailure.TIMED_OUT : SendFailure.NOT_SENT, "timeout");
        }

        private void cancelConnection() {
            OutboundConnection used = connection;
            connection = null;
            if (used != null) {
                used.abandon();
            }
            Channel opening = connecting;
            connecting = null;
            if (opening != null) {
                opening.close();
            }
        }

        @Override
        public void cancel() {
            if (!ended) {
                end();
                cancelConnection();
            }
        }

        @Override
        public void onSend(long number, int requests, boolean idCarried) {
            listener.onSend(number, requests, idCarried);
        }

        @Override
        public void onDropped(DroppedAnswer dropped) {
            listener.onDropped(dropped);
        }

        @Override
        public void onResponse(Answer answer) {
            if (!ended) {
                end();
                connection = null;
                listener.onResponse(answer);
            }
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            if (!ended) {
                end();
                connection = null;
                listener.onFailure(failure, reason);
            }
        }

        private void end() {
            ended = true;
            if (timeout != null) {
                timeout.cancel(false);
            }
        }
    }

    private static final class PipelineInitializer extends ChannelInitializer<SocketChannel> {
        private final OutboundConnection connection;

        PipelineInitializer(OutboundConnection connection) {
            this.connection = connection;
        }

        @Override
        protected void initChannel(SocketChannel socket) {
            AnswerDecoder decoder = new AnswerDecoder();
            connection.decodeWith(decoder);
            socket.pipeline()
                    .addLast(
                            new ReceiveObserver(connection),
                            new RequestEncoder(),
                            decoder,
                            connection);
        }
    }

    /** Notifies a connection of received bytes before they are decoded. */
    private static final class ReceiveObserver extends ChannelInboundHandlerAdapter {
        private final OutboundConnection connection;

        ReceiveObserver(OutboundConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf bytes) {
                connection.bytesArrived(bytes.readableBytes());
            }
            context.fireChannelRead(message);
        }
    }
}
