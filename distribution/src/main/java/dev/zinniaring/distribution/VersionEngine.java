package dev.zinniaring.distribution;

import dev.zinniaring.kernel.EqualJitterBackOff;
import dev.zinniaring.kernel.Scheduler.Cancellable;
import dev.zinniaring.membership.MemberView;
import dev.zinniaring.model.Version;
import dev.zinniaring.publish.VersionSource;
import dev.zinniaring.transport.Peer;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Wires and runs the components of a started {@link VersionDistribution}. */
final class VersionEngine {
    private static final Logger log = LoggerFactory.getLogger(VersionEngine.class);

    // A starting node knows no other nodes at first and considers itself the reader of its zone.
    private static final Duration READER_SETTLE_TIME = Duration.ofSeconds(2);
    private static final Duration MAX_BODY_READ_INTERVAL = Duration.ofSeconds(60);

    private final Context context;
    private final Seeds seeds;
    private final LocalSeed localSeed;
    private final VersionState state;
    private final Consumer<Version> listener;
    private final PlatformReader reader;
    private final PollSchedule polls;
    private final FloorFinder floors;
    private final Recorder recorder;
    private final VersionPropagation propagation;
    private final EqualJitterBackOff bodyBackoff;
    private final EqualJitterBackOff pullBackoff;
    private final List<Cancellable> timers = new CopyOnWriteArrayList<>();
    private OptionalLong readerSinceNanos = OptionalLong.empty();
    private volatile boolean running;

    VersionEngine(
            Context context,
            Seeds seeds,
            LocalSeed localSeed,
            VersionState state,
            VersionSource source,
            Executor executor,
            Consumer<Version> listener) {
        this.context = context;
        this.seeds = seeds;
        this.localSeed = localSeed;
        this.state = state;
        this.listener = listener;
        pullBackoff =
                new EqualJitterBackOff(
                        context.timings().startJitter(),
                        context.timings().retry().multipliedBy(2),
                        context.random());
        bodyBackoff =
                new EqualJitterBackOff(
                        context.timings().bodyAfter(), MAX_BODY_READ_INTERVAL, context.random());
        propagation = new VersionPropagation(context, state, this::accepted);
        recorder =
                new Recorder(context, seeds, localSeed, source, executor, propagation::onRecorded);
        reader =
                new PlatformReader(
                        source,
                        executor,
                        context.mailbox(),
                        state,
                        new PlatformListener(),
                        BodyReader.deltaFirst());
        polls = new PollSchedule(context.clock(), context.timings());
        floors = new FloorFinder(context, seeds, localSeed, reader, this::floorFound);
    }

    void start() {
        running = true;
        DistributionTimings timings = context.timings();
        timers.add(context.every(timings.digest(), propagation::sendDigests));
        context.mailbox().post(this::begin);
    }

    private void begin() {
        DistributionTimings timings = context.timings();
        floors.start();
        poll();
        // Without jitter, readers that started together would all find a change at the same time.
        context.after(context.jitter(timings.headPoll()), this::pollRegularly);
        context.after(context.jitter(timings.startJitter()), this::pullUntilActive);
        context.after(timings.bodyAfter().plus(context.fleetJitter()), this::readUntilActive);
    }

    void stop() {
        running = false;
        timers.forEach(Cancellable::cancel);
        context.mailbox().post(floors::stop);
        context.mailbox().post(recorder::stop);
    }

    void onRecord(Peer from, RecordRequest request) {
        localSeed.onRecord(from, request);
    }

    void onAck(Peer from, RecordAck ack) {
        recorder.onAck(from, ack);
    }

    void onQuery(Peer from, MarkQuery query) {
        localSeed.onQuery(from, query);
    }

    void onReply(Peer from, MarkReply reply) {
        floors.onReply(from, reply);
    }

    void onPush(Peer from, VersionPush push) {
        // A push of the version that this reader has just found also shows that other nodes
        // distribute versions.
        if (push.number() >= state.now().heldNumber()) {
            polls.onVersionReceived();
        }
        propagation.onPush(from, push);
    }

    void onPull(Peer from, VersionPull pull) {
        propagation.onPull(from, pull);
    }

    void onBody(Peer from, VersionBody body) {
        propagation.onBody(from, body);
    }

    void onDigest(Peer from, VersionDigest digest) {
        propagation.onDigest(from, digest);
    }

    VersionStatus status() {
        return VersionStatus.of(
                state,
                localSeed,
                recorder.recording(),
                recorder.acknowledgements(),
                reader,
                propagation.refusedBodies(),
                List.copyOf(seeds.names()));
    }

    private void pollRegularly() {
        if (running) {
            timers.add(context.every(context.timings().headPoll(), this::poll));
        }
    }

    private void poll() {
        MemberView view = context.view();
        if (!running || !view.isHeadReader()) {
            readerSinceNanos = OptionalLong.empty();
            return;
        }
        long since = readerSinceNanos.orElse(context.clock().nanos());
        readerSinceNanos = OptionalLong.of(since);
        boolean settled =
                localSeed.isSoleSeed()
                        || context.clock().since(since).compareTo(READER_SETTLE_TIME) >= 0;
        if (settled && polls.due(PollSchedule.isPreferred(view))) {
            reader.readVersion();
        }
    }

    private void pullUntilActive() {
        if (!running || state.now().active() != null) {
            return;
        }
        propagation.pullAtStart(pullBackoff.attempts());
        context.after(pullBackoff.next(), this::pullUntilActive);
    }

    /** Reads the body from the platform if a version is known to exist and no peer has sent it. */
    private void readUntilActive() {
        VersionState.Snapshot now = state.now();
        if (!running || now.active() != null) {
            return;
        }
        if (now.floor().orElse(0) > 0) {
            reader.readVersion();
        }
        context.after(bodyBackoff.next().plus(context.fleetJitter()), this::readUntilActive);
    }

    private void floorFound(long floor) {
        boolean activated = state.floor(floor);
        Version active = state.now().active();
        if (activated && active != null) {
            announce(active);
        }
    }

    private void accepted(HeldVersion version, VersionState.Outcome outcome) {
        recorder.onVersionHeld(version.number());
        if (outcome == VersionState.Outcome.ACTIVATED) {
            announce(version.version());
        }
    }

    private void announce(Version version) {
        floors.onServing();
        log.info("activated version {} with hash {}", version.number(), version.hash());
        listener.accept(version);
    }

    /** Records a version that the reader of another zone should have pushed by now. */
    private void recordIfMissed(HeldVersion version) {
        if (version.number() > state.now().heldNumber()) {
            polls.onPushMissed();
            record(version);
        }
    }

    private void record(HeldVersion version) {
        if (running && version.number() > state.now().heldNumber()) {
            recorder.record(version);
        }
    }

    /** Handles what was read from the platform. */
    private final class PlatformListener implements PlatformReader.Listener {
        @Override
        public void onHead(long number) {
            floors.onHead(number);
        }

        @Override
        public void onVersion(HeldVersion version) {
            Duration pushWait = polls.pushWait(PollSchedule.isPreferred(context.view()));
            if (pushWait.isZero()) {
                record(version);
            } else {
                context.after(pushWait, () -> recordIfMissed(version));
            }
        }
    }
}
