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
 * Fetches accepted versions to this node and activates them. The active version never goes back to
 * a lower number, not even across restarts.
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
            throw new IllegalArgumentException("seeds must contain at least one address");
        }
        registerMessages();
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Starts following the platform and the peers. The network must already be started.
     *
     * @throws IllegalArgumentException if this node is a seed and its control address is not among
     *     the seeds
     */
    public void start() {
        InetSocketAddress self = context.network().self().controlAddress();
        Seeds names = new Seeds(seeds.isEmpty() ? List.of(self) : seeds);
        LocalSeed localSeed = new LocalSeed(context, names, ownSeed);
        VersionEngine started =
                new VersionEngine(
                        context,
                        names,
                        localSeed,
                        state,
                        source,
                        platformExecutor,
                        listeners::call);
        engine = started;
        started.start();
    }

    /** Stops following the platform and the peers. The active version stays readable. */
    public void stop() {
        VersionEngine running = engine;
        engine = null;
        if (running != null) {
            running.stop();
        }
    }

    @Override
    public Optional<Version> active() {
        return Optional.ofNullable(state.now().active());
    }

    @Override
    public void subscribe(Consumer<Version> listener) {
        listeners.add(listener);
    }

    /** Returns the status for the state dump; its values may be slightly out of date. */
    public VersionStatus state() {
        VersionEngine running = engine;
        return running == null ? VersionStatus.stopped(state) : running.status();
    }

    /** Returns how many handlers and timers have thrown an exception. */
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

    /** Passes a message to the engine. */
    private interface Handler<M> {
        void on(VersionEngine engine, Peer from, M message);
    }

    /** Builder for {@link VersionDistribution}. */
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

        /** Sets the source of the accepted versions. */
        public Builder source(VersionSource value) {
            source = value;
            return this;
        }

        /**
         * Sets the control addresses of all seeds of the mesh. May be empty if this node is the
         * only seed.
         */
        public Builder seeds(List<InetSocketAddress> value) {
            seeds = List.copyOf(value);
            return this;
        }

        /**
         * Sets whether this node is a seed. The control address of a seed must be among the seeds.
         */
        public Builder ownSeed(boolean value) {
            ownSeed = value;
            return this;
        }

        /** Sets the executor for reads and writes of the platform, which block. */
        public Builder platformExecutor(Executor value) {
            platformExecutor = value;
            return this;
        }

        /**
         * Creates the distribution and registers its message handlers with the network.
         *
         * @throws NullPointerException if a required setting is missing
         * @throws IllegalArgumentException if there are no seeds
         */
        public VersionDistribution build() {
            return new VersionDistribution(this);
        }
    }
}
