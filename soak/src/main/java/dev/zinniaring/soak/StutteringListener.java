package dev.zinniaring.soak;

import dev.zinniaring.calls.Answer;
import dev.zinniaring.calls.Exchange;
import dev.zinniaring.calls.ExchangeHandler;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Accepts the requests of a backend server and sends its answers as {@link Stutter} draws them.
 * Bytes of one answer never stand between the bytes of another, which no receiver could detect.
 */
final class StutteringListener {
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final EventLoopGroup loop;
    private final Clock clock;
    private final Stutter stutter;
    private final Observations observations;
    private final ExchangeHandler handler;
    private final Channel channel;

    private StutteringListener(
            EventLoopGroup loop,
            Clock clock,
            Stutter stutter,
            Observations observations,
            ExchangeHandler handler)
            throws KernelException {
        this.loop = loop;
        this.clock = clock;
        this.stutter = stutter;
        this.observations = observations;
        this.handler = handler;
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new ConnectionInitializer())
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new KernelException("backend server cannot listen", bound.cause());
        }
        channel = bound.channel();
    }

    /**
     * Starts to listen on a free port of the loopback interface.
     *
     * @throws KernelException if it cannot listen
     */
    static StutteringListener start(
            EventLoopGroup loop,
            Clock clock,
            Stutter stutter,
            Observations observations,
            ExchangeHandler handler)
            throws KernelException {
        return new StutteringListener(loop, clock, stutter, observations, handler);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel socket) {
            socket.pipeline()
                    .addLast(
                            new HttpRequestDecoder(),
                            new HttpObjectAggregator(MAX_BODY_BYTES),
                            new Connection(socket));
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private final Queue<AnswerBytes.Step> unsent = new ArrayDeque<>();
        private byte[] beforeNext = new byte[0];
        private @Nullable Exchange exchange;

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Exchange received =
                    new Exchange(
                            request.method().name(),
                            request.uri(),
                            request.headers().copy(),
                            ByteBufUtil.getBytes(request.content()),
                            clock.nanos(),
                            this::send);
            exchange = received;
            handler.handle(received);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            unsent.clear();
            Exchange current = exchange;
            if (current != null) {
                current.cancel();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void send(Answer answer) {
            Exchange answered = exchange;
            String tag = answer.headers().get(RunTag.HEADER);
            AnswerBytes.Sending sending;
            if (tag == null || answered == null) {
                sending = AnswerBytes.plain(answer);
            } else {
                AnswerKind kind = stutter.kind(answer.status());
                sending = stutter.send(kind, answer);
                observations.add(
                        new Observations.SentAnswer(
                                RunTag.parse(tag).run(),
                                RunTag.send(answered.headers()),
                                kind,
                                answer.status(),
                                new String(answer.body(), StandardCharsets.ISO_8859_1)));
            }
            while (!unsent.isEmpty()) {
                write(unsent.remove());
            }
            channel.write(Unpooled.wrappedBuffer(beforeNext));
            beforeNext = sending.beforeNext();
            unsent.addAll(sending.steps());
            writeNext();
        }

        private void writeNext() {
            AnswerBytes.Step next = unsent.peek();
            if (next == null) {
                return;
            }
            if (next.afterMillis() > 0) {
                loop.schedule(() -> writeDue(next), next.afterMillis(), TimeUnit.MILLISECONDS);
            } else {
                writeDue(next);
            }
        }

        /** Writes a step unless the next answer has brought it forward. */
        private void writeDue(AnswerBytes.Step due) {
            if (unsent.peek() == due) {
                unsent.remove();
                write(due);
                writeNext();
            }
        }

        private void write(AnswerBytes.Step step) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(step.bytes()));
            if (step.end() == AnswerBytes.End.RESET && channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            if (step.end() != AnswerBytes.End.OPEN) {
                channel.close();
            }
        }
    }
}
