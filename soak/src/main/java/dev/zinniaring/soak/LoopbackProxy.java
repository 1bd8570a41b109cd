package dev.zinniaring.soak;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Forwards TCP connections and injects faults. Bytes that a fault holds back are delivered in order
 * after it ends, as TCP would deliver them. Requires an event loop group of one thread.
 */
final class LoopbackProxy {
    /** Which bytes are forwarded. */
    enum Mode {
        /** Both directions. */
        PASS,
        /** Neither direction; connections stay open. */
        SILENT,
        /** Only bytes from the target. */
        REQUESTS_CUT,
        /** Only bytes to the target. */
        ANSWERS_CUT,
        /** Both directions; refusals from the target are sent once more, late. */
        REFUSALS_REPEATED,
        /** Both directions, but every other answer ends, with its connection, in its head. */
        HEADS_BROKEN,
        /** None; open and new connections are reset. */
        RESET
    }

    private static final long LATE_COPY_MILLIS = 30;
    private static final int BROKEN_HEAD_BYTES = 25;
    private static final List<String> REFUSALS = List.of("HTTP/1.1 503", "HTTP/1.1 421");

    private final EventLoopGroup loop;
    private final Clock clock;
    private final InetSocketAddress target;
    private final Channel listener;
    private final Set<Direction> directions = new HashSet<>();
    private Mode mode = Mode.PASS;
    private long delayNanos;
    private boolean passesResets;

    private LoopbackProxy(EventLoopGroup loop, Clock clock, InetSocketAddress target)
            throws KernelException {
        this.loop = loop;
        this.clock = clock;
        this.target = target;
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new ConnectionAcceptor())
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new KernelException(
                    "fault-injecting proxy cannot listen on the loopback interface", bound.cause());
        }
        listener = bound.channel();
    }

    /**
     * Starts a proxy on a free port of the loopback interface.
     *
     * @throws KernelException if the proxy cannot listen
     */
    static LoopbackProxy start(EventLoopGroup loop, Clock clock, InetSocketAddress target)
            throws KernelException {
        return new LoopbackProxy(loop, clock, target);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Sets which bytes are forwarded, asynchronously on the event loop. */
    void mode(Mode next) {
        loop.execute(
                () -> {
                    mode = next;
                    if (next == Mode.RESET) {
                        reset();
                    } else {
                        List.copyOf(directions).forEach(Direction::forward);
                    }
                });
    }

    /** Resets every open connection; new connections are accepted. */
    void resetOnce() {
        loop.execute(this::reset);
    }

    /** Sets the delay of bytes received from now on, in each direction, in milliseconds. */
    void delayMillis(long millis) {
        loop.execute(() -> delayNanos = TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Lets a reset of one side reset the other, which is else closed. */
    void passResets() {
        loop.execute(() -> passesResets = true);
    }

    private void reset() {
        for (Direction direction : List.copyOf(directions)) {
            reset(direction.from);
        }
    }

    private static void reset(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    private boolean forwards(boolean toTarget) {
        return switch (mode) {
            case PASS, REFUSALS_REPEATED, HEADS_BROKEN -> true;
            case SILENT, RESET -> false;
            case REQUESTS_CUT -> !toTarget;
            case ANSWERS_CUT -> toTarget;
        };
    }

    /** A chunk of received bytes, or the end of the stream if {@code bytes} is null. */
    private record Chunk(@Nullable ByteBuf bytes, long dueNanos) {}

    private final class Direction extends ChannelInboundHandlerAdapter {
        private final boolean toTarget;
        private final Queue<Chunk> queue = new ArrayDeque<>();
        private final Channel from;
        private @Nullable Channel to;
        private int answers;
        private boolean wasReset;

        Direction(boolean toTarget, Channel from) {
            this.toTarget = toTarget;
            this.from = from;
            directions.add(this);
        }

        void connected(Channel other) {
            to = other;
            forward();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            enqueue((ByteBuf) message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            enqueue(null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            wasReset = passesResets;
            context.close();
        }

        private void enqueue(@Nullable ByteBuf bytes) {
            queue.add(new Chunk(bytes, clock.nanos() + delayNanos));
            if (delayNanos > 0) {
                loop.schedule(this::forward, delayNanos, TimeUnit.NANOSECONDS);
            }
            forward();
        }

        private void write(ByteBuf bytes, Channel other) {
            if (!toTarget && mode == Mode.HEADS_BROKEN && answers++ % 2 == 0) {
                int kept = Math.min(BROKEN_HEAD_BYTES, bytes.readableBytes());
                other.writeAndFlush(bytes.readSlice(kept)).addListener(done -> other.close());
                return;
            }
            if (!toTarget && mode == Mode.REFUSALS_REPEATED && refusal(bytes)) {
                ByteBuf copy = bytes.copy();
                loop.schedule(
                        () -> other.writeAndFlush(copy), LATE_COPY_MILLIS, TimeUnit.MILLISECONDS);
            }
            other.writeAndFlush(bytes);
        }

        private boolean refusal(ByteBuf bytes) {
            String start =
                    bytes.toString(
                            bytes.readerIndex(),
                            Math.min(REFUSALS.get(0).length(), bytes.readableBytes()),
                            StandardCharsets.ISO_8859_1);
            return REFUSALS.contains(start);
        }

        private void end(Channel other) {
            if (wasReset) {
                reset(other);
            } else {
                other.close();
            }
        }

        void forward() {
            Channel other = to;
            while (other != null && forwards(toTarget)) {
                Chunk next = queue.peek();
                if (next == null || next.dueNanos - clock.nanos() > 0) {
                    return;
                }
                queue.remove();
                ByteBuf bytes = next.bytes;
                if (bytes == null) {
                    directions.remove(this);
                    end(other);
                } else {
                    write(bytes, other);
                }
            }
        }
    }

    @ChannelHandler.Sharable
    private final class ConnectionAcceptor extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRegistered(ChannelHandlerContext context) {
            Channel client = context.channel();
            client.pipeline().remove(this);
            if (mode == Mode.RESET) {
                reset(client);
                return;
            }
            Direction requests = new Direction(true, client);
            client.pipeline().addLast(requests);
            ChannelFuture opening =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(new ChannelInboundHandlerAdapter())
                            .connect(target);
            opening.addListener(done -> connected(client, requests, opening));
        }

        private void connected(Channel client, Direction requests, ChannelFuture opening) {
            if (!opening.isSuccess()) {
                directions.remove(requests);
                reset(client);
                return;
            }
            Channel server = opening.channel();
            Direction answers = new Direction(false, server);
            server.pipeline().addLast(answers);
            answers.connected(client);
            requests.connected(server);
        }
    }
}
