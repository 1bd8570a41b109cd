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
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Passes TCP connections on, with faults. Bytes that a fault holds back are delivered in order once
 * it is over, as TCP would. Runs on an event loop group of one thread.
 */
final class LoopbackProxy {
    /** Which bytes pass. */
    enum Mode {
        PASS,
        /** Neither direction. */
        SILENT,
        /** Only those from the target. */
        REQUESTS_CUT,
        /** Only those to the target. */
        ANSWERS_CUT,
        /** None: connections are reset. */
        RESET
    }

    private final EventLoopGroup loop;
    private final Clock clock;
    private final InetSocketAddress target;
    private final Channel listening;
    private final Set<Direction> directions = new HashSet<>();
    private Mode mode = Mode.PASS;
    private long delayNanos;

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
                        .childHandler(new Accepted())
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new KernelException("a proxy cannot listen", bound.cause());
        }
        listening = bound.channel();
    }

    /**
     * Starts a proxy on a free port.
     *
     * @throws KernelException if there is none
     */
    static LoopbackProxy start(EventLoopGroup loop, Clock clock, InetSocketAddress target)
            throws KernelException {
        return new LoopbackProxy(loop, clock, target);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Sets which bytes pass. */
    void mode(Mode next) {
        loop.execute(
                () -> {
                    mode = next;
                    if (next == Mode.RESET) {
                        reset();
                    } else {
                        List.copyOf(directions).forEach(Direction::pump);
                    }
                });
    }

    /** Closes every connection with a reset; later ones pass. */
    void resetOnce() {
        loop.execute(this::reset);
    }

    /** Sets how much later bytes arrive. */
    void delayMillis(long millis) {
        loop.execute(() -> delayNanos = TimeUnit.MILLISECONDS.toNanos(millis));
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

    private boolean open(boolean toTarget) {
        return switch (mode) {
            case PASS -> true;
            case SILENT, RESET -> false;
            case REQUESTS_CUT -> !toTarget;
            case ANSWERS_CUT -> toTarget;
        };
    }

    /** Bytes, or the end of a direction if there are none. */
    private record Piece(@Nullable ByteBuf bytes, long dueNanos) {}

    private final class Direction extends ChannelInboundHandlerAdapter {
        private final boolean toTarget;
        private final Queue<Piece> held = new ArrayDeque<>();
        private final Channel from;
        private @Nullable Channel to;

        Direction(boolean toTarget, Channel from) {
            this.toTarget = toTarget;
            this.from = from;
            directions.add(this);
        }

        void connected(Channel other) {
            to = other;
            pump();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            hold((ByteBuf) message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            hold(null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void hold(@Nullable ByteBuf bytes) {
            held.add(new Piece(bytes, clock.nanos() + delayNanos));
            if (delayNanos > 0) {
                loop.schedule(this::pump, delayNanos, TimeUnit.NANOSECONDS);
            }
            pump();
        }

        void pump() {
            Channel other = to;
            while (other != null && open(toTarget)) {
                Piece next = held.peek();
                if (next == null || next.dueNanos - clock.nanos() > 0) {
                    return;
                }
                held.remove();
                ByteBuf bytes = next.bytes;
                if (bytes == null) {
                    directions.remove(this);
                    other.close();
                } else {
                    other.writeAndFlush(bytes);
                }
            }
        }
    }

    @ChannelHandler.Sharable
    private final class Accepted extends ChannelInboundHandlerAdapter {
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
