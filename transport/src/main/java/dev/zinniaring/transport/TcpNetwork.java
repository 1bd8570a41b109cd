package dev.zinniaring.transport;

import dev.zinniaring.kernel.Scheduler;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A network over TCP links and UDP datagrams on one port, served by one thread.
 *
 * <pre>{@code
 * TcpNetwork network = TcpNetwork.builder()
 *         .mesh("pt-centro").nodeId("n1").zone("a").incarnation(clock.now().toEpochMilli())
 *         .bind(new InetSocketAddress("127.0.0.1", 7400))
 *         .clock(clock).scheduler(scheduler).random(new SplittableRandom())
 *         .build();
 * network.handle(VersionPull.CODEC, this::answer);
 * network.start();
 * }</pre>
 */
public final class TcpNetwork implements Network, AutoCloseable {
    private static final Logger log = LoggerFactory.getLogger(TcpNetwork.class);
    private static final Duration SWEEP_PERIOD = Duration.ofMillis(250);
    private static final long LOOP_WAIT_MILLIS = 5_000;

    private final NetworkSettings settings;
    private final MessageTypes types = new MessageTypes();
    private final TrafficCounters counters = new TrafficCounters();
    private final ByteBudget handover;
    private volatile @Nullable Running running;

    /** What exists between start and close. */
    private record Running(
            LinkContext context,
            Sockets sockets,
            LinkTable links,
            DatagramPort datagrams,
            Scheduler.Cancellable sweep) {}

    TcpNetwork(NetworkSettings settings) {
        this.settings = settings;
        this.handover = new ByteBudget(settings.limits().queueBytes());
        types.add(Hello.CODEC, (from, hello) -> {});
        types.add(LinkCheck.CODEC, (from, check) -> {});
    }

    /** Returns a builder. */
    public static TcpNetworkBuilder builder() {
        return new TcpNetworkBuilder();
    }

    /**
     * Binds the sockets and begins to accept links. A closed network may be started again.
     *
     * @throws TransportException if the address cannot be bound
     */
    public synchronized void start() throws TransportException {
        if (running != null) {
            throw new TransportException("network is already started");
        }
        IoLoop shared = settings.loop();
        IoLoop loop = shared == null ? IoLoop.open("transport-" + settings.nodeId()) : shared;
        try {
            Sockets sockets = Sockets.bind(settings.bind());
            running = run(loop, sockets);
        } catch (TransportException e) {
            closeOwn(loop);
            throw e;
        }
    }

    /** Closes all links and sockets. Does nothing if called again. */
    @Override
    public synchronized void close() {
        Running closing = running;
        if (closing == null) {
            return;
        }
        running = null;
        closing.sweep.cancel();
        IoLoop loop = closing.context.loop();
        if (loop.isClosed()) {
            closing.sockets.close();
        } else {
            onLoop(loop, () -> release(closing), false);
        }
        closeOwn(loop);
    }

    @Override
    public Peer self() {
        Running now = running;
        if (now != null) {
            return now.context.hello().peer();
        }
        if (settings.bind().getPort() == 0) {
            throw new IllegalStateException("the port is not known before the start");
        }
        return new Peer(settings.nodeId(), settings.zone(), settings.bind());
    }

    @Override
    public long incarnation() {
        return settings.incarnation();
    }

    @Override
    public <M extends Message> void handle(MessageCodec<M> codec, Handler<M> handler) {
        types.add(codec, handler);
    }

    @Override
    public void send(Peer to, Message message) {
        Running now = running;
        if (now == null) {
            return;
        }
        if (isSelf(now, to)) {
            deliverLocally(now, message);
            return;
        }
        OutFrame frame = encode(message);
        handOver(now, frame, () -> now.links.send(to, frame));
    }

    @Override
    public void send(InetSocketAddress to, Message message) {
        Running now = running;
        if (now == null) {
            return;
        }
        if (to.equals(now.context.hello().peer().controlAddress())) {
            deliverLocally(now, message);
            return;
        }
        OutFrame frame = encode(message);
        handOver(now, frame, () -> now.links.send(to, frame));
    }

    @Override
    public void datagram(Peer to, Message message) {
        Running now = running;
        if (now == null) {
            return;
        }
        if (isSelf(now, to)) {
            deliverLocally(now, message);
            return;
        }
        now.datagrams.send(to, types.of(message), message);
    }

    /** Returns the counters of this network, which outlive a restart of it. */
    public TrafficCounters counters() {
        return counters;
    }

    /** Returns the state for the dump. */
    public TransportState state() {
        Running now = running;
        List<TransportState.LinkState> links = List.of();
        if (now != null) {
            links = onLoop(now.context.loop(), now.links::state, List.of());
        }
        return new TransportState(
                settings.nodeId(),
                settings.zone(),
                String.valueOf(now == null ? settings.bind() : self().controlAddress()),
                settings.incarnation(),
                links,
                counters.faultCounts(),
                counters.totals());
    }

    private static boolean release(Running closing) {
        closing.links.close();
        closing.sockets.close();
        closing.context.loop().releaseClosed();
        return true;
    }

    private Running run(IoLoop loop, Sockets sockets) throws TransportException {
        Peer self = new Peer(settings.nodeId(), settings.zone(), sockets.address());
        Hello hello = new Hello(Hello.PROTOCOL, settings.mesh(), self, settings.incarnation());
        LinkContext context =
                new LinkContext(
                        hello,
                        types,
                        counters,
                        settings.clock(),
                        settings.scheduler(),
                        settings.random(),
                        settings.conditions(),
                        settings.limits(),
                        loop);
        LinkTable links = new LinkTable(context);
        DatagramPort datagrams = new DatagramPort(context, sockets.datagrams());
        loop.execute(() -> listen(loop, sockets, links, datagrams));
        Scheduler.Cancellable sweep =
                settings.scheduler().every(SWEEP_PERIOD, () -> loop.execute(links::sweep));
        return new Running(context, sockets, links, datagrams, sweep);
    }

    private static void listen(IoLoop loop, Sockets sockets, LinkTable links, DatagramPort port) {
        try {
            loop.register(sockets.server(), SelectionKey.OP_ACCEPT, links::accept);
            loop.register(sockets.datagrams(), SelectionKey.OP_READ, port::receive);
        } catch (ClosedChannelException e) {
            log.debug("network closed before it listened", e);
        }
    }

    private OutFrame encode(Message message) {
        OutFrame frame = OutFrame.of(types.of(message).codec(), message);
        if (frame.sizeBytes() - FrameDecoder.LENGTH_BYTES > settings.limits().maxFrameBytes()) {
            throw new IllegalArgumentException(
                    types.of(message).name()
                            + " takes "
                            + frame.sizeBytes()
                            + " bytes, more than "
                            + settings.limits().maxFrameBytes());
        }
        return frame;
    }

    private void handOver(Running now, OutFrame frame, Runnable task) {
        if (!handover.tryTake(frame.sizeBytes())) {
            counters.fault(TransportFault.UNSENT);
            return;
        }
        now.context
                .loop()
                .execute(
                        () -> {
                            handover.give(frame.sizeBytes());
                            task.run();
                        });
    }

    private void deliverLocally(Running now, Message message) {
        MessageTypes.Entry<?> entry = types.of(message);
        Peer self = now.context.hello().peer();
        now.context.loop().execute(() -> now.context.deliver(entry, self, message));
    }

    private static boolean isSelf(Running now, Peer to) {
        return to.nodeId().equals(now.context.hello().peer().nodeId());
    }

    private void closeOwn(IoLoop loop) {
        if (settings.loop() == null) {
            loop.close();
        }
    }

    /** Runs a query on the loop's thread and waits for it, unless the loop has ended. */
    private static <T> T onLoop(IoLoop loop, Supplier<T> query, T fallback) {
        if (loop.isCurrent()) {
            return query.get();
        }
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(query.get()));
        try {
            return result.get(loop.isClosed() ? 0 : LOOP_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return fallback;
        } catch (ExecutionException | TimeoutException e) {
            log.warn("I/O thread did not answer", e);
            return fallback;
        }
    }
}
