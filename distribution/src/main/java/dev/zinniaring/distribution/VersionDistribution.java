package dev.zinniaring.distribution;

import dev.zinniaring.model.Version;
import dev.zinniaring.publish.VersionSource;
import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import dev.zinniaring.transport.Peer;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Brings the accepted versions to this node and puts them in force, never going back, not even
 * across restarts.
 *
 * <pre>{@code
 * VersionDistribution versions = VersionDistribution.builder()
 *         .network(network).membership(membership).source(publisher)
 *         .seeds(seedAddresses).ownSeed(true).scheduler(scheduler)
 *         .platformExecutor(executor).build(); // before the network starts
 * versions.start(); // after it
 * }</pre>
 */
public final class VersionDistribution implements Versions {
    private final Context context;
    private final VersionSource source;
    private final Executor platformExecutor;
    private final List<InetSocketAddress> seeds;
    private final boolean ownSeed;
    private final VersionState state = new VersionState();
    private final Listeners<Version> listeners = new Listeners<>();
    private volatile @Nullable VersionEngine engine;

    private VersionDistribution(Builder builder) {
        context = builder.context();
        source = Objects.requireNonNull(builder.source, "source");
        platformExecutor = Objects.requireNonNull(builder.platformExecutor, "platformExecutor");
        seeds = builder.seeds;
        ownSeed = builder.ownSeed;
        if (seeds.isEmpty() && !ownSeed) {
            throw new IllegalArgumentException("seeds must hold at least one address");
        }
        registerMessages();
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Begins to follow the platform and the peers. The network must have started.
     *
     * @throws IllegalArgumentException if this node is to be a seed and its control address is not
     *     among the seeds
     */
    public void start() {
        InetSocketAddress self = context.network().self().controlAddress();
        Seeds names = new Seeds(seeds.isEmpty() ? List.of(self) : seeds);
        SeedDesk desk = new SeedDesk(context, names, ownSeed);
        VersionEngine started =
                new VersionEngine(
                        context, names, desk, state, source, platformExecutor, listeners::call);
        engine = started;
        started.start();
    }

    /** Stops following. What is in force stays readable. */
    public void stop() {
        VersionEngine running = engine;
        engine = null;
        if (running != null) {
            running.stop();
        }
    }

    @Override
    public Optional<Version> inForce() {
        return Optional.ofNullable(state.now().inForce());
    }

    @Override
    public void subscribe(Consumer<Version> listener) {
        listeners.add(listener);
    }

    /** Returns what the state dump shows; the figures may be a moment old. */
    public VersionStatus state() {
        VersionEngine running = engine;
        return running == null ? VersionStatus.stopped(state) : running.status();
    }

    /** Returns how many handlers and timers have thrown. */
    long taskFailures() {
        return context.mailbox().failures();
    }

    private void registerMessages() {
        handle(RecordRequest.CODEC, VersionEngine::onRecord);
        handle(RecordAck.CODEC, VersionEngine::onAck);
        handle(MarkQuery.CODEC, VersionEngine::onQuery);
        handle(MarkReply.CODEC, VersionEngine::onReply);
        handle(VersionPush.CODEC, VersionEngine::onPush);
        handle(VersionPull.CODEC, VersionEngine::onPull);
        handle(VersionBody.CODEC, VersionEngine::onBody);
        handle(VersionDigest.CODEC, VersionEngine::onDigest);
    }

    private <M extends Message> void handle(MessageCodec<M> codec, Handler<M> handler) {
        context.handle(
                codec,
                (from, message) -> {
                    VersionEngine running = engine;
                    if (running != null) {
                        handler.on(running, from, message);
                    }
                });
    }

    /** Hands a message to the engine. */
    private interface Handler<M> {
        void on(VersionEngine engine, Peer from, M message);
    }

    /** Collects the parts of a {@link VersionDistribution}. */
    public static final class Builder extends DistributionBuilder<Builder> {
        private @Nullable VersionSource source;
        private List<InetSocketAddress> seeds = List.of();
        private boolean ownSeed;
        private @Nullable Executor platformExecutor;

        private Builder() {}

        @Override
        Builder self() {
            return this;
        }

        /** Sets where the accepted versions are read. */
        public Builder source(VersionSource value) {
            source = value;
            return this;
        }

        /**
         * Sets the control addresses of all seeds of the mesh. May stay empty where this node is
         * the only seed.
         */
        public Builder seeds(List<InetSocketAddress> value) {
            seeds = List.copyOf(value);
            return this;
        }

        /** Sets whether this node is a seed; its control address is then among the seeds. */
        public Builder ownSeed(boolean value) {
            ownSeed = value;
            return this;
        }

        /** Sets what runs reads and writes of the platform, which block. */
        public Builder platformExecutor(Executor value) {
            platformExecutor = value;
            return this;
        }

        /**
         * Returns the distribution and registers its messages with the network.
         *
         * @throws NullPointerException if a part is missing
         * @throws IllegalArgumentException if there are no seeds
         */
        public VersionDistribution build() {
            return new VersionDistribution(this);
        }
    }
}
