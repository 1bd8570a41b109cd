package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Scheduler.Cancellable;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import dev.zinniaring.transport.Network;
import dev.zinniaring.transport.Peer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Spreads the endpoint records of the backend servers beside this node and learns those of others.
 *
 * <pre>{@code
 * EndpointDistribution endpoints = EndpointDistribution.builder()
 *         .network(network).membership(membership).scheduler(scheduler)
 *         .callAddress("10.0.0.7:7480").build(); // before the network starts
 * endpoints.start();
 * }</pre>
 */
public final class EndpointDistribution implements Endpoints {
    private static final Logger log = LoggerFactory.getLogger(EndpointDistribution.class);
    private static final Duration SWEEP = Duration.ofSeconds(1);

    private final Context context;
    private final String callAddress;
    private volatile @Nullable LocalServers servers;
    private final EndpointStore store = new EndpointStore();
    private final EndpointOutbox outbox;
    private final EndpointRepair repair;
    private final LivenessFilter liveness;
    private final Listeners<EndpointView> listeners = new Listeners<>();
    private final List<Cancellable> timers = new ArrayList<>();
    private final AtomicBoolean sweepPosted = new AtomicBoolean();
    private volatile boolean running;

    private EndpointDistribution(Builder builder) {
        context = builder.context();
        callAddress = Objects.requireNonNull(builder.callAddress, "callAddress");
        outbox = new EndpointOutbox(context);
        repair = new EndpointRepair(context, store);
        liveness = new LivenessFilter(context.clock());
        handle(EndpointBatch.CODEC, this::onBatch);
        handle(EndpointPull.CODEC, repair::onPull);
        handle(EndpointDigest.CODEC, repair::onDigest);
        context.membership().subscribe((before, after) -> sweepSoon());
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Begins to spread and learn. The network must have started. */
    public void start() {
        Network network = context.network();
        Peer self = network.self();
        servers = new LocalServers(self.nodeId(), self.zone(), callAddress, network.incarnation());
        running = true;
        Timings timings = context.timings();
        timers.add(context.every(timings.endpointBatch(), outbox::flush));
        timers.add(context.every(timings.digest(), repair::sendDigests));
        timers.add(context.every(SWEEP, this::sweep));
        context.mailbox()
                .post(
                        () ->
                                context.after(
                                        context.jitter(timings.startJitter()),
                                        this::pullUntilSynced));
    }

    /** Stops spreading, after sending what is pending. The view stays readable. */
    public void stop() {
        timers.forEach(Cancellable::cancel);
        context.mailbox().post(outbox::flush);
        running = false;
    }

    @Override
    public EndpointView view() {
        return store.view();
    }

    @Override
    public void subscribe(Consumer<EndpointView> listener) {
        listeners.add(listener);
    }

    @Override
    public void announce(LocalServer server) {
        local().announce(server).ifPresent(this::spread);
    }

    @Override
    public void withdraw(String serverId) {
        local().withdraw(serverId).ifPresent(this::spread);
    }

    /** Returns what the state dump shows; the figures may be a moment old. */
    public EndpointStatus state() {
        return new EndpointStatus(
                store.size(),
                repair.synced(),
                outbox.size(),
                outbox.batchesSent(),
                repair.differences(),
                repair.refusedPulls());
    }

    /** Returns how many handlers and timers have thrown. */
    long taskFailures() {
        return context.mailbox().failures();
    }

    private <M extends Message> void handle(MessageCodec<M> codec, BiConsumer<Peer, M> handler) {
        context.handle(
                codec,
                (from, message) -> {
                    if (running) {
                        handler.accept(from, message);
                    }
                });
    }

    private LocalServers local() {
        LocalServers local = servers;
        if (local == null) {
            throw new IllegalStateException("endpoints must be started first");
        }
        return local;
    }

    /** The view changes at once, so that the caller sees its own write. */
    private void spread(EndpointRecord record) {
        store.merge(List.of(record), context.clock().nanos());
        context.mailbox()
                .post(
                        () -> {
                            outbox.add(record);
                            changed();
                        });
    }

    private void onBatch(Peer from, EndpointBatch batch) {
        try {
            learn(from, batch, EndpointBlock.unpack(batch.packed()));
        } catch (DistributionException e) {
            log.warn("endpoint batch from {} is refused: {}", from.nodeId(), e.getMessage());
        }
    }

    private void learn(Peer from, EndpointBatch batch, List<EndpointRecord> records) {
        LocalServers local = local();
        local.overrule(records).forEach(this::spread);
        List<EndpointRecord> usable =
                records.stream()
                        .filter(record -> !local.owns(record))
                        .filter(record -> !liveness.drops(context.view(), record))
                        .toList();
        boolean forwarded = repair.synced() || batch.wholeBuckets() == 0;
        List<EndpointRecord> taken = store.merge(usable, context.clock().nanos());
        if (forwarded) {
            outbox.addAll(taken, from);
        }
        repair.answered(from, batch.wholeBuckets(), records);
        if (!taken.isEmpty()) {
            changed();
        }
    }

    /** Many changes of membership in a row take one sweep. */
    private void sweepSoon() {
        if (sweepPosted.compareAndSet(false, true)) {
            context.mailbox().post(this::sweep);
        }
    }

    private void sweep() {
        sweepPosted.set(false);
        LocalServers local = servers;
        if (local == null) {
            return;
        }
        int expired =
                store.expire(
                        record -> !local.owns(record) && liveness.drops(context.view(), record),
                        context.clock().nanos());
        if (expired > 0) {
            changed();
        }
    }

    private void pullUntilSynced() {
        if (!running || repair.synced()) {
            return;
        }
        repair.pullAll();
        Duration retry = context.timings().retry();
        context.after(retry.plus(context.jitter(retry)), this::pullUntilSynced);
    }

    private void changed() {
        listeners.call(store.view());
    }

    /** Collects the parts of an {@link EndpointDistribution}. */
    public static final class Builder extends DistributionBuilder<Builder> {
        private @Nullable String callAddress;

        private Builder() {}

        @Override
        Builder self() {
            return this;
        }

        /** Sets the {@code ip:port} at which this node takes calls. */
        public Builder callAddress(String value) {
            callAddress = value;
            return this;
        }

        /**
         * Returns the distribution and registers its messages with the network.
         *
         * @throws NullPointerException if a part is missing
         */
        public EndpointDistribution build() {
            return new EndpointDistribution(this);
        }
    }
}
