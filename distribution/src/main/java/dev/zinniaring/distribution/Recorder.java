package dev.zinniaring.distribution;

import dev.zinniaring.kernel.EqualJitterBackOff;
import dev.zinniaring.kernel.Scheduler.Cancellable;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.VersionSource;
import dev.zinniaring.transport.Peer;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records a version that was read from the platform on a majority of seeds. Sends requests over the
 * network and, if too few seeds are reachable, exchanges acknowledgements with other readers
 * through rows on the platform. Runs in the mailbox.
 */
final class Recorder {
    private static final Logger log = LoggerFactory.getLogger(Recorder.class);
    private static final Duration FIRST_RETRY = Duration.ofMillis(200);
    private static final Duration MAX_RETRY = Duration.ofSeconds(2);
    // Longer than the retransmission of a lost frame takes.
    private static final Duration PROOF_DELAY = Duration.ofMillis(500);

    // Number of retries without a majority before rows on the platform are used.
    private static final int RETRIES_BEFORE_ROWS = 3;

    private final Context context;
    private final Seeds seeds;
    private final LocalSeed localSeed;
    private final VersionSource source;
    private final Executor executor;
    private final Consumer<HeldVersion> recorded;
    private @Nullable Round round;
    private @Nullable Round finished;
    private boolean rowsBusy;

    Recorder(
            Context context,
            Seeds seeds,
            LocalSeed localSeed,
            VersionSource source,
            Executor executor,
            Consumer<HeldVersion> recorded) {
        this.context = context;
        this.seeds = seeds;
        this.localSeed = localSeed;
        this.source = source;
        this.executor = executor;
        this.recorded = recorded;
    }

    /** Recording of one version. */
    private static final class Round {
        private final HeldVersion version;
        private final RecordRound acks;
        private final PlatformRound rows;
        private final EqualJitterBackOff backoff;
        private @Nullable Cancellable retry;
        private int rowsPhase;
        private long rowsValue;
        private boolean secondPhaseSent;

        Round(HeldVersion version, Seeds seeds, EqualJitterBackOff backoff) {
            this.version = version;
            this.acks = new RecordRound(version.number(), seeds);
            this.rows = new PlatformRound(version.number(), seeds);
            this.backoff = backoff;
        }
    }

    /** Begins a round unless one for this version or a later one is running. */
    void record(HeldVersion version) {
        if (round != null && round.version.number() >= version.number()) {
            return;
        }
        stop();
        Round next =
                new Round(
                        version,
                        seeds,
                        new EqualJitterBackOff(FIRST_RETRY, MAX_RETRY, context.random()));
        round = next;
        sendRequests(next);
    }

    /** Ends the current round if its version is not newer than a version that this node holds. */
    void onVersionHeld(long number) {
        if (round != null && round.version.number() <= number) {
            stop();
        }
    }

    /** Cancels the current round. */
    void stop() {
        if (round != null && round.retry != null) {
            round.retry.cancel();
        }
        round = null;
    }

    /** Returns the version number of the current round, or 0 if there is none. */
    long recording() {
        Round running = round;
        return running == null ? 0 : running.version.number();
    }

    int acknowledgements() {
        Round running = round;
        return running == null ? 0 : running.acks.acknowledgements();
    }

    void onAck(Peer from, RecordAck ack) {
        acknowledged(Seeds.name(from.controlAddress()), ack);
    }

    private void sendRequests(Round current) {
        if (current.retry != null) {
            current.retry.cancel();
        }
        current.retry = context.after(current.backoff.next(), () -> retry(current));
        RecordRequest request = current.acks.nextPhase();
        for (String seed : seeds.names()) {
            if (localSeed.isSelf(seed)) {
                localSeed.record(request).ifPresent(ack -> acknowledged(seed, ack));
            } else {
                context.network().send(seeds.address(seed), request);
            }
        }
    }

    private void acknowledged(String seed, RecordAck ack) {
        Round current = round;
        if (current == null) {
            if (finished != null) {
                finished.acks.acknowledged(seed, ack);
            }
            return;
        }
        current.acks.acknowledged(seed, ack);
        if (current.acks.complete()) {
            finish(current);
        } else if (!current.secondPhaseSent && current.acks.majorityAnswered()) {
            current.secondPhaseSent = true;
            sendRequests(current);
        }
    }

    private void retry(Round current) {
        if (round != current) {
            return;
        }
        if (current.backoff.attempts() > RETRIES_BEFORE_ROWS) {
            exchangeRows(current);
        } else {
            sendRequests(current);
        }
    }

    /** Writes rows for the seeds that have answered since the last read, then reads all rows. */
    private void exchangeRows(Round current) {
        current.retry = context.after(current.backoff.next(), () -> retry(current));
        if (rowsBusy) {
            return;
        }
        long value = current.rowsValue;
        Set<String> incarnations =
                current.rowsPhase == 0
                        ? Set.of()
                        : current.acks.acknowledgedSince(current.rowsPhase);
        runRows(
                () -> {
                    for (String incarnation : incarnations) {
                        source.putMark(incarnation, value);
                    }
                    Map<String, Long> rows = source.marks();
                    context.mailbox().post(() -> rowsRead(current, rows));
                },
                () -> rowsFailed(current));
    }

    /** Runs a blocking platform task; only one runs at a time. */
    private void runRows(RowTask task, Runnable failed) {
        rowsBusy = true;
        try {
            executor.execute(() -> runOnExecutor(task, failed));
        } catch (RejectedExecutionException e) {
            rowsBusy = false;
            log.debug("skipped exchange of marks: executor is shut down");
        }
    }

    private void runOnExecutor(RowTask task, Runnable failed) {
        try {
            task.run();
        } catch (PublishException e) {
            log.debug("exchange of marks through the platform failed: {}", e.getMessage());
            context.mailbox().post(failed);
        } finally {
            context.mailbox().post(() -> rowsBusy = false);
        }
    }

    private void rowsRead(Round current, Map<String, Long> rows) {
        if (round != current) {
            return;
        }
        current.rows.read(rows);
        if (current.rows.complete()) {
            finish(current);
            return;
        }
        current.rowsValue = current.rows.nextValue();
        current.rowsPhase = current.acks.phase() + 1;
        sendRequests(current);
    }

    private void rowsFailed(Round current) {
        if (round == current) {
            sendRequests(current);
        }
    }

    private void finish(Round done) {
        stop();
        recorded.accept(done.version);
        finished = done;
        context.after(PROOF_DELAY, () -> writeProof(done));
    }

    /**
     * Publishes the proof that a majority has recorded the version, for readers that reach the
     * platform but not the seeds. Skipped if all seeds have answered by now: the proof is needed
     * only if some seed is unreachable.
     */
    private void writeProof(Round done) {
        if (finished != done || done.acks.acknowledgements() == seeds.count()) {
            return;
        }
        long number = done.version.number();
        try {
            executor.execute(() -> sendProof(done, number));
        } catch (RejectedExecutionException e) {
            log.debug("skipped proof that version {} is recorded: executor is shut down", number);
        }
    }

    private void sendProof(Round done, long number) {
        try {
            source.putMark(PlatformRound.RECORDED, number);
        } catch (PublishException e) {
            log.debug("cannot write proof that version {} is recorded: {}", number, e.getMessage());
            context.after(MAX_RETRY, () -> writeProof(done));
        }
    }

    /** A blocking platform task. */
    private interface RowTask {
        void run() throws PublishException;
    }
}
