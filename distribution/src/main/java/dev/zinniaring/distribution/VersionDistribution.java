package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.kernel.Scheduler.Cancellable;
import dev.zinniaring.membership.Membership;
import dev.zinniaring.model.Version;
import dev.zinniaring.publish.VersionSource;
import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.Network;
import dev.zinniaring.transport.Peer;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings the accepted versions to this node and puts them in force, never going back, not even
 * across restarts.
 *
 * <pre>{@code
 * VersionDistribution versions = VersionDistribution.builder()
 *         .network(network).membership(membership).source(publisher)
 *         .seeds(seedAddresses).ownSeed(true).scheduler(scheduler)
 *         .platformExecutor(executor).build(); // before the network starts
 * versions.start();
 * }</pre>
 */
public final class VersionDistribution implements Versions {
    private static final Logger log = LoggerFactory.getLogger(VersionDistribution.class);

    private final Context context;
    private final Seeds seeds;
    private final VersionState state = new VersionState();
    private final SeedDesk desk;
    private final HeadReader reader;
    private final FloorFinder floors;
    private final Recorder recorder;
    private final VersionSpread spread;
    private final List<Consumer<Version>> listeners = new CopyOnWriteArrayList<>();
    private final List<Cancellable> timers = new ArrayList<>();
    private volatile boolean running;

    private VersionDistribution(Builder builder) {
        context = builder.context();
        seeds = new Seeds(builder.seeds);
        desk = new SeedDesk(context, seeds, builder.ownSeed);
        VersionSource source = Objects.requireNonNull(builder.source, "source");
        Executor executor = Objects.requireNonNull(builder.platformExecutor, "platformExecutor");
        spread = new VersionSpread(context, state, this::accepted);
        recorder = new Recorder(context, seeds, desk, source, executor, spread::recordedHere);
        reader = new HeadReader(source, executor, context.mailbox(), state, new Found());
        floors = new FloorFinder(context, seeds, desk, reader, this::floorFound);
        registerMessages();
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Begins to follow the platform and the peers. The network must have started. */
    public void start() {
        running = true;
        Timings timings = context.timings();
        timers.add(context.every(timings.headPoll(), this::poll));
        timers.add(context.every(timings.digest(), spread::sendDigests));
        context.mailbox().post(floors::start);
        context.mailbox().post(this::poll);
        context.after(context.jitter(timings.startJitter()), this::pullUntilServed);
        Duration bodyAfter = timings.bodyAfter();
        context.after(bodyAfter.plus(context.jitter(bodyAfter)), this::readUntilServed);
    }

    /** Stops following. What is in force stays readable. */
    public void stop() {
        running = false;
        timers.forEach(Cancellable::cancel);
        context.mailbox().post(floors::stop);
        context.mailbox().post(recorder::stop);
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
        VersionState.Snapshot now = state.now();
        Version inForce = now.inForce();
        VersionState.Refused refused = now.refused();
        return new VersionStatus(
                inForce == null ? 0 : inForce.number(),
                inForce == null ? "" : inForce.hash(),
                now.heldNumber(),
                now.floor().orElse(-1),
                waitingFor(now),
                refused == null ? 0 : refused.number(),
                refused == null ? "" : refused.reason(),
                desk.isSeed(),
                desk.mark(),
                desk.confirmed(),
                recorder.recording(),
                recorder.acknowledgements(),
                state.conflicts(),
                reader.reads(),
                reader.failures(),
                spread.refusedBodies(),
                List.copyOf(seeds.names()));
    }

    private static String waitingFor(VersionState.Snapshot now) {
        if (now.inForce() != null) {
            return "";
        }
        if (now.floor().isEmpty()) {
            return "floor from a majority of seeds or from the platform";
        }
        long floor = now.floor().getAsLong();
        return floor == 0 ? "first version" : "recorded version of at least " + floor;
    }

    private void registerMessages() {
        handle(RecordRequest.CODEC, desk::onRecord);
        handle(RecordAck.CODEC, recorder::onAck);
        handle(MarkQuery.CODEC, desk::onQuery);
        handle(MarkReply.CODEC, floors::onReply);
        handle(VersionPush.CODEC, spread::onPush);
        handle(VersionPull.CODEC, spread::onPull);
        handle(VersionBody.CODEC, spread::onBody);
        handle(VersionDigest.CODEC, spread::onDigest);
    }

    private <M extends Message> void handle(Wire.Codec<M> codec, BiConsumer<Peer, M> handler) {
        context.handle(
                codec,
                (from, message) -> {
                    if (running) {
                        handler.accept(from, message);
                    }
                });
    }

    private void poll() {
        if (running && context.view().isReader()) {
            reader.readVersion();
        }
    }

    private void pullUntilServed() {
        if (!running || state.now().inForce() != null) {
            return;
        }
        spread.pullAtStart();
        Duration retry = context.timings().retry();
        context.after(retry.plus(context.jitter(retry)), this::pullUntilServed);
    }

    private void readUntilServed() {
        if (!running || state.now().inForce() != null) {
            return;
        }
        reader.readVersion();
        Duration again = context.timings().bodyAfter();
        context.after(again.plus(context.jitter(again)), this::readUntilServed);
    }

    private void floorFound(long floor) {
        boolean served = state.floor(floor);
        Version inForce = state.now().inForce();
        if (served && inForce != null) {
            announce(inForce);
        }
    }

    private void accepted(HeldVersion version, VersionState.Outcome outcome) {
        recorder.held(version.number());
        if (outcome == VersionState.Outcome.IN_FORCE) {
            announce(version.version());
        }
    }

    private void announce(Version version) {
        floors.served();
        log.info("version {} is in force, hash {}", version.number(), version.hash());
        for (Consumer<Version> listener : listeners) {
            listener.accept(version);
        }
    }

    /** Takes what was read from the platform. */
    private final class Found implements HeadReader.Listener {
        @Override
        public void head(long number) {
            floors.head(number);
        }

        @Override
        public void found(HeldVersion version) {
            if (running && version.number() > state.now().heldNumber()) {
                recorder.record(version);
            }
        }
    }

    /** Collects the parts of a {@link VersionDistribution}. */
    public static final class Builder {
        private @Nullable Network network;
        private @Nullable Membership membership;
        private @Nullable VersionSource source;
        private List<InetSocketAddress> seeds = List.of();
        private boolean ownSeed;
        private Clock clock = Clock.system();
        private @Nullable Scheduler scheduler;
        private @Nullable Executor platformExecutor;
        private @Nullable RandomGenerator random;
        private Timings timings = Timings.standard();

        private Builder() {}

        /** Sets the network, whose messages are registered by {@link #build()}. */
        public Builder network(Network value) {
            network = value;
            return this;
        }

        /** Sets where live peers, gateways and the reader come from. */
        public Builder membership(Membership value) {
            membership = value;
            return this;
        }

        /** Sets where the accepted versions are read. */
        public Builder source(VersionSource value) {
            source = value;
            return this;
        }

        /** Sets the control addresses of all seeds of the mesh, at least one. */
        public Builder seeds(List<InetSocketAddress> value) {
            seeds = List.copyOf(value);
            return this;
        }

        /** Sets whether this node is a seed; its control address is then among the seeds. */
        public Builder ownSeed(boolean value) {
            ownSeed = value;
            return this;
        }

        /** Sets the clock, by default the VM's. */
        public Builder clock(Clock value) {
            clock = value;
            return this;
        }

        /** Sets what runs timers and handlers. */
        public Builder scheduler(Scheduler value) {
            scheduler = value;
            return this;
        }

        /** Sets what runs reads and writes of the platform, which block. */
        public Builder platformExecutor(Executor value) {
            platformExecutor = value;
            return this;
        }

        /** Sets the source of jitter and random choices. */
        public Builder random(RandomGenerator value) {
            random = value;
            return this;
        }

        /** Sets how often the node does what. */
        public Builder timings(Timings value) {
            timings = value;
            return this;
        }

        /**
         * Returns the distribution and registers its messages with the network.
         *
         * @throws NullPointerException if a part is missing
         * @throws IllegalArgumentException if there are no seeds, or this node is a seed that is
         *     not among them
         */
        public VersionDistribution build() {
            return new VersionDistribution(this);
        }

        private Context context() {
            Scheduler timers = Objects.requireNonNull(scheduler, "scheduler");
            return new Context(
                    Objects.requireNonNull(network, "network"),
                    Objects.requireNonNull(membership, "membership"),
                    clock,
                    timers,
                    random == null ? new java.util.Random() : random,
                    timings,
                    new Mailbox(timers));
        }
    }
}
