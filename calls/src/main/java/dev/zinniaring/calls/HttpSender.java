package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests over kept connections, each request at most once. Runs on one event loop.
 *
 * <pre>{@code
 * HttpSender sender = new HttpSender(group, clock);
 * HttpSender.Sending sending = sender.send(address, request, listener);
 * sending.cancel();
 * }</pre>
 */
public final class HttpSender {
    /** Reason of a failure to open a connection. */
    static final String CONNECT_FAILED = "connect-failed";

    private final EventLoop loop;
    private final Clock clock;
    private final Map<InetSocketAddress, Deque<ClientConnection>> idle = new HashMap<>();

    /** Creates a sender on a group of one event loop. */
    public HttpSender(EventLoopGroup group, Clock clock) {
        this.loop = group.next();
        this.clock = clock;
    }

    /** A request on its way. */
    public interface Sending {
        /** Gives the request up: closes its connection, and calls the listener no more. */
        void cancel();
    }

    /** Sends a request; the listener hears of the answer or the failure on the event loop. */
    public Sending send(InetSocketAddress address, Outbound request, SendListener listener) {
        Flight flight = new Flight(address, request, listener);
        flight.begin();
        return flight;
    }

    /** Closes the idle connections to an address, which may have gone silent. */
    public void forget(InetSocketAddress address) {
        Deque<ClientConnection> kept = idle.remove(address);
        if (kept != null) {
            new ArrayList<>(kept).forEach(ClientConnection::close);
        }
    }

    /** Closes connections that have been idle for longer than their server keeps them. */
    public void sweep() {
        long nowNanos = clock.nanos();
        for (Deque<ClientConnection> kept : List.copyOf(idle.values())) {
            for (ClientConnection connection : List.copyOf(kept)) {
                if (connection.expired(nowNanos)) {
                    kept.remove(connection);
                    connection.close();
                }
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }

    void keep(ClientConnection connection) {
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
                .addFirst(connection);
    }

    void drop(ClientConnection connection) {
        Deque<ClientConnection> kept = idle.get(connection.address());
        if (kept != null) {
            kept.remove(connection);
        }
    }

    Clock clock() {
        return clock;
    }

    private final class Flight implements Sending, SendListener {
        private final InetSocketAddress address;
        private final Outbound request;
        private final SendListener listener;
        private @Nullable Future<?> timeout;
        private @Nullable ClientConnection connection;
        private @Nullable Channel connecting;
        private boolean ended;

        Flight(InetSocketAddress address, Outbound request, SendListener listener) {
            this.address = address;
            this.request = request;
            this.listener = listener;
        }

        void begin() {
            timeout =
                    loop.schedule(
                            this::timedOut,
                            Math.max(1, request.timeoutMillis()),
                            TimeUnit.MILLISECONDS);
            ClientConnection kept = takeIdle();
            if (kept == null) {
                connect();
            } else {
                use(kept);
            }
        }

        private @Nullable ClientConnection takeIdle() {
            Deque<ClientConnection> kept = idle.get(address);
            if (kept == null) {
                return null;
            }
            long nowNanos = clock.nanos();
            for (ClientConnection next = kept.poll(); next != null; next = kept.poll()) {
                if (next.usable(nowNanos, request.maxIdleMillis())) {
                    return next;
                }
                next.close();
            }
            return null;
        }

        private void connect() {
            ClientConnection made = new ClientConnection(HttpSender.this, address);
            ChannelFuture opening =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(
                                    ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                    Math.max(1, request.connectMillis()))
                            .handler(new Pipeline(made))
                            .connect(address);
            connecting = opening.channel();
            opening.addListener(done -> connected(made, opening));
        }

        private void connected(ClientConnection made, ChannelFuture opening) {
            connecting = null;
            if (!opening.isSuccess()) {
                failed(SendFailure.NOT_SENT, CONNECT_FAILED);
            } else if (ended) {
                made.close();
            } else {
                use(made);
            }
        }

        private void use(ClientConnection ready) {
            connection = ready;
            ready.send(request, this);
        }

        private void timedOut() {
            boolean sent = connection != null;
            cancelConnection();
            failed(sent ? SendFailure.TIMED_OUT : SendFailure.NOT_SENT, "timeout");
        }

        private void cancelConnection() {
            ClientConnection used = connection;
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
        public void answered(Answer answer) {
            if (!ended) {
                end();
                connection = null;
                listener.answered(answer);
            }
        }

        @Override
        public void failed(SendFailure failure, String reason) {
            if (!ended) {
                end();
                connection = null;
                listener.failed(failure, reason);
            }
        }

        private void end() {
            ended = true;
            if (timeout != null) {
                timeout.cancel(false);
            }
        }
    }

    private static final class Pipeline extends ChannelInitializer<SocketChannel> {
        private final ClientConnection connection;

        Pipeline(ClientConnection connection) {
            this.connection = connection;
        }

        @Override
        protected void initChannel(SocketChannel socket) {
            AnswerDecoder decoder = new AnswerDecoder();
            connection.decodeWith(decoder);
            socket.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
        }
    }
}
