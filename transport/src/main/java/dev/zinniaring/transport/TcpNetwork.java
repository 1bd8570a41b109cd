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
 * A network that uses TCP and UDP on the same port number, served by one I/O thread.
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
    private final ByteBudget submitBudget;
    private volatile @Nullable Running running;

    /** The resources held between start and close. */
    private record Running(
            LinkContext context,
            Sockets sockets,
            LinkTable links,
            DatagramPort datagrams,
            Scheduler.Cancellable sweep) {}

    TcpNetwork(NetworkSettings settings) {
        this.settings = settings;
        this.submitBudget = new ByteBudget(settings.limits().queueBytes());
        types.add(Hello.CODEC, (from, hello) -> {});
        types.add(LinkCheck.CODEC, (from, check) -> {});
    }

    /** Returns a builder. */
    public static TcpNetworkBuilder builder() {
        return new TcpNetworkBuilder();
    }

    /**
     * Binds the sockets and starts accepting links. A closed network may be started again.
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
            running = startOn(loop, sockets);
        } catch (TransportException e) {
            closeIfOwned(loop);
            throw e;
        }
    }

    /** Closes all links and sockets. Does nothing if the network is not running. */
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
            callOnLoop(loop, () -> release(closing), false);
        }
        closeIfOwned(loop);
    }

    @Override
    public Peer self() {
        Running current = running;
        if (current != null) {
            return current.context.hello().peer();
        }
        if (settings.bind().getPort() == 0) {
            throw new IllegalStateException(
                    "port 0 was configured: the port is unknown until the network starts");
        }
        return new Peer(settings.nodeId(), settings.zone(), settings.bind());
    }

    @Override
    public long incarnation() {
        return settings.incarnation();
    }

    @Override
    public <M extends Message> void registerHandler(MessageCodec<M> codec, Handler<M> handler) {
        types.add(codec, handler);
    }

    @Override
    public void send(Peer to, Message message) {
        Running current = running;
        if (current == null) {
            return;
        }
        if (isSelf(current, to)) {
            deliverLocally(current, message);
            return;
        }
        OutFrame frame = encode(message);
        submit(current, frame, () -> current.links.send(to, frame));
    }

    @Override
    public void send(InetSocketAddress to, Message message) {
        Running current = running;
        if (current == null) {
            return;
        }
        if (to.equals(current.context.hello().peer().controlAddress())) {
            deliverLocally(current, message);
            return;
        }
        OutFrame frame = encode(message);
        submit(current, frame, () -> current.links.send(to, frame));
    }

    @Override
    public void sendDatagram(Peer to, Message message) {
        Running current = running;
        if (current == null) {
            return;
        }
        if (isSelf(current, to)) {
            deliverLocally(current, message);
            return;
        }
        current.datagrams.send(to, types.of(message), message);
    }

    /** Returns this network's counters, which keep their values across a restart of the network. */
    public TrafficCounters counters() {
        return counters;
    }

    /** Returns the transport's part of the state dump. */
    public TransportState state() {
        Running current = running;
        List<TransportState.LinkState> links = List.of();
        if (current != null) {
            links = callOnLoop(current.context.loop(), current.links::state, List.of());
        }
        return new TransportState(
                settings.nodeId(),
                settings.zone(),
                String.valueOf(current == null ? settings.bind() : self().controlAddress()),
                settings.incarnation(),
                links,
                counters.faultCounts(),
                counters.totals());
    }

    private static boolean release(Running closing) {
        closing.links.close();
        closing.sockets.close();
        closing.context.loop().releaseClosedChannels();
        return true;
    }

    private Running startOn(IoLoop loop, Sockets sockets) throws TransportException {
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
            log.debug("network was closed before it started listening", e);
        }
    }

    private OutFrame encode(Message message) {
        OutFrame frame = OutFrame.of(types.of(message).codec(), message);
        if (frame.sizeBytes() - FrameDecoder.LENGTH_BYTES > settings.limits().maxFrameBytes()) {
            throw new IllegalArgumentException(
                    types.of(message).name()
                            + " is "
                            + frame.sizeBytes()
                            + " bytes, above the frame limit of "
                            + settings.limits().maxFrameBytes());
        }
        return frame;
    }

    private void submit(Running current, OutFrame frame, Runnable task) {
        if (!submitBudget.tryAcquire(frame.sizeBytes())) {
            counters.fault(TransportFault.UNSENT);
            return;
        }
        current.context
                .loop()
                .execute(
                        () -> {
                            submitBudget.release(frame.sizeBytes());
                            task.run();
                        });
    }

    private void deliverLocally(Running current, Message message) {
        MessageTypes.Entry<?> entry = types.of(message);
        Peer self = current.context.hello().peer();
        current.context.loop().execute(() -> current.context.deliver(entry, self, message));
    }

    private static boolean isSelf(Running current, Peer to) {
        return to.nodeId().equals(current.context.hello().peer().nodeId());
    }

    private void closeIfOwned(IoLoop loop) {
        if (settings.loop() == null) {
            loop.close();
        }
    }

    /**
     * Runs a query on the I/O thread and waits for its result. Returns {@code fallback} if the
     * thread does not answer in time or the loop is closed.
     */
    private static <T> T callOnLoop(IoLoop loop, Supplier<T> query, T fallback) {
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
            log.warn("query on the I/O thread failed or timed out", e);
            return fallback;
        }
    }
}
