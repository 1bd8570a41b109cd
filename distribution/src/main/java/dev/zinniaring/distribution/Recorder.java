package dev.zinniaring.distribution;

import dev.zinniaring.kernel.BackOff;
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
 * Gets a version from the platform recorded by a majority of seeds, over the network and, where
 * links to seeds are cut, through rows on the platform. Runs in the mailbox.
 */
final class Recorder {
    private static final Logger log = LoggerFactory.getLogger(Recorder.class);
    private static final Duration FIRST_RETRY = Duration.ofMillis(200);
    private static final Duration MAX_RETRY = Duration.ofSeconds(2);
    // Longer than a lost frame takes to be sent again.
    private static final Duration PROOF_DELAY = Duration.ofMillis(500);

    // Retries without a majority before rows on the platform are used.
    private static final int RETRIES_BEFORE_ROWS = 3;

    private final Context context;
    private final Seeds seeds;
    private final SeedDesk desk;
    private final VersionSource source;
    private final Executor executor;
    private final Consumer<HeldVersion> recorded;
    private @Nullable Round round;
    private @Nullable Round finished;
    private boolean rowsBusy;

    Recorder(
            Context context,
            Seeds seeds,
            SeedDesk desk,
            VersionSource source,
            Executor executor,
            Consumer<HeldVersion> recorded) {
        this.context = context;
        this.seeds = seeds;
        this.desk = desk;
        this.source = source;
        this.executor = executor;
        this.recorded = recorded;
    }

    /** One version on its way to a majority. */
    private static final class Round {
        private final HeldVersion version;
        private final RecordRound acks;
        private final PlatformRound rows;
        private final BackOff backoff;
        private @Nullable Cancellable retry;
        private int rowsPhase;
        private long rowsValue;
        private boolean askedAgain;

        Round(HeldVersion version, Seeds seeds, BackOff backoff) {
            this.version = version;
            this.acks = new RecordRound(version.number(), seeds);
            this.rows = new PlatformRound(version.number(), seeds);
            this.backoff = backoff;
        }
    }

    /** Begins a round unless one for this version or a later one runs. */
    void record(HeldVersion version) {
        if (round != null && round.version.number() >= version.number()) {
            return;
        }
        stop();
        Round next =
                new Round(version, seeds, new BackOff(FIRST_RETRY, MAX_RETRY, context.random()));
        round = next;
        ask(next);
    }

    /** Ends a round that a recorded version has made useless. */
    void held(long number) {
        if (round != null && round.version.number() <= number) {
            stop();
        }
    }

    /** Calls off what runs. */
    void stop() {
        if (round != null && round.retry != null) {
            round.retry.cancel();
        }
        round = null;
    }

    /** Returns the number that waits for a majority, 0 for none. */
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

    private void ask(Round asking) {
        if (asking.retry != null) {
            asking.retry.cancel();
        }
        asking.retry = context.after(asking.backoff.next(), () -> retry(asking));
        RecordRequest request = asking.acks.nextPhase();
        for (String seed : seeds.names()) {
            if (desk.isSelf(seed)) {
                desk.record(request).ifPresent(ack -> acknowledged(seed, ack));
            } else {
                context.network().send(seeds.address(seed), request);
            }
        }
    }

    private void acknowledged(String seed, RecordAck ack) {
        Round asked = round;
        if (asked == null) {
            if (finished != null) {
                finished.acks.acknowledged(seed, ack);
            }
            return;
        }
        asked.acks.acknowledged(seed, ack);
        if (asked.acks.complete()) {
            finish(asked);
        } else if (!asked.askedAgain && asked.acks.majorityAnswered()) {
            asked.askedAgain = true;
            ask(asked);
        }
    }

    private void retry(Round asking) {
        if (round != asking) {
            return;
        }
        if (asking.backoff.attempts() > RETRIES_BEFORE_ROWS) {
            exchangeRows(asking);
        } else {
            ask(asking);
        }
    }

    /** Writes rows for the seeds that have answered since the last read, then reads all rows. */
    private void exchangeRows(Round asking) {
        asking.retry = context.after(asking.backoff.next(), () -> retry(asking));
        if (rowsBusy) {
            return;
        }
        long value = asking.rowsValue;
        Set<String> lives =
                asking.rowsPhase == 0 ? Set.of() : asking.acks.acknowledgedSince(asking.rowsPhase);
        runRows(
                () -> {
                    for (String life : lives) {
                        source.putMark(life, value);
                    }
                    Map<String, Long> rows = source.marks();
                    context.mailbox().post(() -> rowsRead(asking, rows));
                },
                () -> rowsFailed(asking));
    }

    /** Runs a task that blocks on the platform; one at a time. */
    private void runRows(RowTask task, Runnable failed) {
        rowsBusy = true;
        try {
            executor.execute(() -> runOnExecutor(task, failed));
        } catch (RejectedExecutionException e) {
            rowsBusy = false;
            log.debug("marks not exchanged because the executor has stopped");
        }
    }

    private void runOnExecutor(RowTask task, Runnable failed) {
        try {
            task.run();
        } catch (PublishException e) {
            log.debug("marks could not be exchanged: {}", e.getMessage());
            context.mailbox().post(failed);
        } finally {
            context.mailbox().post(() -> rowsBusy = false);
        }
    }

    private void rowsRead(Round asking, Map<String, Long> rows) {
        if (round != asking) {
            return;
        }
        asking.rows.read(rows);
        if (asking.rows.complete()) {
            finish(asking);
            return;
        }
        asking.rowsValue = asking.rows.nextValue();
        asking.rowsPhase = asking.acks.phase() + 1;
        ask(asking);
    }

    private void rowsFailed(Round asking) {
        if (round == asking) {
            ask(asking);
        }
    }

    private void finish(Round done) {
        stop();
        recorded.accept(done.version);
        finished = done;
        context.after(PROOF_DELAY, () -> leaveProof(done));
    }

    /**
     * Lets readers that are cut off from the seeds, but not from the platform, go on. Needed only
     * if some seed has not answered by now.
     */
    private void leaveProof(Round done) {
        if (finished != done || done.acks.acknowledgements() == seeds.count()) {
            return;
        }
        long number = done.version.number();
        try {
            executor.execute(() -> putProof(done, number));
        } catch (RejectedExecutionException e) {
            log.debug("proof of version {} not left because the executor has stopped", number);
        }
    }

    private void putProof(Round done, long number) {
        try {
            source.putMark(PlatformRound.RECORDED, number);
        } catch (PublishException e) {
            log.debug("proof of version {} could not be left: {}", number, e.getMessage());
            context.after(MAX_RETRY, () -> leaveProof(done));
        }
    }

    /** A task that blocks on the platform. */
    private interface RowTask {
        void run() throws PublishException;
    }
}
