package dev.zinniaring.distribution;

import dev.zinniaring.kernel.BackOff;
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

/** The running parts of a {@link VersionDistribution} and what passes between them. */
final class VersionEngine {
    private static final Logger log = LoggerFactory.getLogger(VersionEngine.class);

    // A starting node knows no other at first and takes itself for the reader.
    private static final Duration READER_SETTLES = Duration.ofSeconds(2);
    private static final Duration MAX_BODY_READ = Duration.ofSeconds(60);

    private final Context context;
    private final Seeds seeds;
    private final SeedDesk desk;
    private final VersionState state;
    private final Consumer<Version> listener;
    private final HeadReader reader;
    private final PollPlan polls;
    private final FloorFinder floors;
    private final Recorder recorder;
    private final VersionSpread spread;
    private final BackOff bodyBackoff;
    private final BackOff pullBackoff;
    private final List<Cancellable> timers = new CopyOnWriteArrayList<>();
    private OptionalLong readerSinceNanos = OptionalLong.empty();
    private volatile boolean running;

    VersionEngine(
            Context context,
            Seeds seeds,
            SeedDesk desk,
            VersionState state,
            VersionSource source,
            Executor executor,
            Consumer<Version> listener) {
        this.context = context;
        this.seeds = seeds;
        this.desk = desk;
        this.state = state;
        this.listener = listener;
        pullBackoff =
                new BackOff(
                        context.timings().startJitter(),
                        context.timings().retry().multipliedBy(2),
                        context.random());
        bodyBackoff = new BackOff(context.timings().bodyAfter(), MAX_BODY_READ, context.random());
        spread = new VersionSpread(context, state, this::accepted);
        recorder = new Recorder(context, seeds, desk, source, executor, spread::recordedHere);
        reader =
                new HeadReader(
                        source,
                        executor,
                        context.mailbox(),
                        state,
                        new Found(),
                        BodyReader.deltaFirst());
        polls = new PollPlan(context.clock(), context.timings());
        floors = new FloorFinder(context, seeds, desk, reader, this::floorFound);
    }

    void start() {
        running = true;
        Timings timings = context.timings();
        timers.add(context.every(timings.digest(), spread::sendDigests));
        context.mailbox().post(this::begin);
    }

    private void begin() {
        Timings timings = context.timings();
        floors.start();
        poll();
        // Readers that started together would otherwise all find a change at once.
        context.after(context.jitter(timings.headPoll()), this::pollRegularly);
        context.after(context.jitter(timings.startJitter()), this::pullUntilServed);
        context.after(timings.bodyAfter().plus(context.turn()), this::readUntilServed);
    }

    void stop() {
        running = false;
        timers.forEach(Cancellable::cancel);
        context.mailbox().post(floors::stop);
        context.mailbox().post(recorder::stop);
    }

    void onRecord(Peer from, RecordRequest request) {
        desk.onRecord(from, request);
    }

    void onAck(Peer from, RecordAck ack) {
        recorder.onAck(from, ack);
    }

    void onQuery(Peer from, MarkQuery query) {
        desk.onQuery(from, query);
    }

    void onReply(Peer from, MarkReply reply) {
        floors.onReply(from, reply);
    }

    void onPush(Peer from, VersionPush push) {
        // A push of what this reader has just found itself shows as well that others bring
        // versions.
        if (push.number() >= state.now().heldNumber()) {
            polls.sent();
        }
        spread.onPush(from, push);
    }

    void onPull(Peer from, VersionPull pull) {
        spread.onPull(from, pull);
    }

    void onBody(Peer from, VersionBody body) {
        spread.onBody(from, body);
    }

    void onDigest(Peer from, VersionDigest digest) {
        spread.onDigest(from, digest);
    }

    VersionStatus status() {
        return VersionStatus.of(
                state,
                desk,
                recorder.recording(),
                recorder.acknowledgements(),
                reader,
                spread.refusedBodies(),
                List.copyOf(seeds.names()));
    }

    private void pollRegularly() {
        if (running) {
            timers.add(context.every(context.timings().headPoll(), this::poll));
        }
    }

    private void poll() {
        MemberView view = context.view();
        if (!running || !view.isReader()) {
            readerSinceNanos = OptionalLong.empty();
            return;
        }
        long since = readerSinceNanos.orElse(context.clock().nanos());
        readerSinceNanos = OptionalLong.of(since);
        boolean settled =
                desk.isSoleSeed() || context.clock().since(since).compareTo(READER_SETTLES) >= 0;
        if (settled && polls.due(PollPlan.isPreferred(view))) {
            reader.readVersion();
        }
    }

    private void pullUntilServed() {
        if (!running || state.now().inForce() != null) {
            return;
        }
        spread.pullAtStart(pullBackoff.attempts());
        context.after(pullBackoff.next(), this::pullUntilServed);
    }

    /** Reads the body from the platform if the peers have not brought a version that is due. */
    private void readUntilServed() {
        VersionState.Snapshot now = state.now();
        if (!running || now.inForce() != null) {
            return;
        }
        if (now.floor().orElse(0) > 0) {
            reader.readVersion();
        }
        context.after(bodyBackoff.next().plus(context.turn()), this::readUntilServed);
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
        listener.accept(version);
    }

    /** Records a version that another zone's reader should have pushed by now. */
    private void recordIfMissed(HeldVersion version) {
        if (version.number() > state.now().heldNumber()) {
            polls.missed();
            record(version);
        }
    }

    private void record(HeldVersion version) {
        if (running && version.number() > state.now().heldNumber()) {
            recorder.record(version);
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
            Duration patience = polls.patience(PollPlan.isPreferred(context.view()));
            if (patience.isZero()) {
                record(version);
            } else {
                context.after(patience, () -> recordIfMissed(version));
            }
        }
    }
}
