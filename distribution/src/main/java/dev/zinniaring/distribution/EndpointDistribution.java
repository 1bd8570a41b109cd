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
 * Propagates the endpoint records of the local backend servers and receives those of other nodes.
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
    private static final Duration SWEEP_PERIOD = Duration.ofSeconds(1);

    private final Context context;
    private final String callAddress;
    private volatile @Nullable LocalEndpoints servers;
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

    /** Starts sending and receiving endpoint records. The network must already be started. */
    public void start() {
        Network network = context.network();
        Peer self = network.self();
        servers =
                new LocalEndpoints(self.nodeId(), self.zone(), callAddress, network.incarnation());
        running = true;
        DistributionTimings timings = context.timings();
        timers.add(context.every(timings.endpointBatch(), outbox::flush));
        timers.add(context.every(timings.digest(), repair::sendDigests));
        timers.add(context.every(SWEEP_PERIOD, this::sweep));
        context.mailbox()
                .post(
                        () ->
                                context.after(
                                        context.jitter(timings.startJitter()),
                                        this::pullUntilSynced));
    }

    /** Stops the distribution after sending pending records. The view stays readable. */
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
    public void announce(LocalEndpoint server) {
        local().announce(server).ifPresent(this::propagate);
    }

    @Override
    public void withdraw(String serverId) {
        local().withdraw(serverId).ifPresent(this::propagate);
    }

    /** Returns the status for the state dump; its values may be slightly out of date. */
    public EndpointStatus state() {
        return new EndpointStatus(
                store.size(),
                repair.synced(),
                outbox.size(),
                outbox.batchesSent(),
                repair.differences(),
                repair.refusedPulls());
    }

    /** Returns how many handlers and timers have thrown an exception. */
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

    private LocalEndpoints local() {
        LocalEndpoints local = servers;
        if (local == null) {
            throw new IllegalStateException("endpoint distribution has not been started");
        }
        return local;
    }

    /** Updates the local view synchronously, so that callers can read their own writes. */
    private void propagate(EndpointRecord record) {
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
            mergeBatch(from, batch, EndpointBlock.decode(batch.compressed()));
        } catch (DistributionException e) {
            log.warn("rejected endpoint batch from {}: {}", from.nodeId(), e.getMessage());
        }
    }

    private void mergeBatch(Peer from, EndpointBatch batch, List<EndpointRecord> records) {
        LocalEndpoints local = local();
        local.supersede(records).forEach(this::propagate);
        List<EndpointRecord> usable =
                records.stream()
                        .filter(record -> !local.owns(record))
                        .filter(record -> !liveness.shouldDrop(context.view(), record))
                        .toList();
        boolean forwarded = repair.synced() || batch.wholeBuckets() == 0;
        List<EndpointRecord> taken = store.merge(usable, context.clock().nanos());
        if (forwarded) {
            outbox.addAll(taken, from);
        }
        repair.onRecords(from, batch.wholeBuckets(), records);
        if (!taken.isEmpty()) {
            changed();
        }
    }

    /** Coalesces a series of membership changes into one sweep. */
    private void sweepSoon() {
        if (sweepPosted.compareAndSet(false, true)) {
            context.mailbox().post(this::sweep);
        }
    }

    private void sweep() {
        sweepPosted.set(false);
        LocalEndpoints local = servers;
        if (local == null) {
            return;
        }
        int expired =
                store.expire(
                        record ->
                                !local.owns(record) && liveness.shouldDrop(context.view(), record),
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

    /** Builder for {@link EndpointDistribution}. */
    public static final class Builder extends DistributionBuilder<Builder> {
        private @Nullable String callAddress;

        private Builder() {}

        @Override
        Builder self() {
            return this;
        }

        /** Sets the {@code ip:port} at which this node accepts calls. */
        public Builder callAddress(String value) {
            callAddress = value;
            return this;
        }

        /**
         * Creates the distribution and registers its message handlers with the network.
         *
         * @throws NullPointerException if a required setting is missing
         */
        public EndpointDistribution build() {
            return new EndpointDistribution(this);
        }
    }
}
