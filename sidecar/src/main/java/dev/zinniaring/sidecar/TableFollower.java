package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.BackOff;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.store.Failures;
import dev.zinniaring.store.HistoryLostException;
import dev.zinniaring.store.RowPage;
import dev.zinniaring.store.RowStore;
import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows a table of the store: lists it, then waits for changes, and starts over after a loss of
 * history. All of it runs on the scheduler's thread.
 */
final class TableFollower {
    private static final Logger log = LoggerFactory.getLogger("store");
    private static final Duration FIRST_RETRY = Duration.ofMillis(100);
    private static final Duration LONGEST_RETRY = Duration.ofMillis(1_000);

    /** After a failure other nodes are left to read for the zone for this long. */
    private static final long FAILING_NANOS = 10_000_000_000L;

    private final RowStore store;
    private final String table;
    private final Scheduler scheduler;
    private final Clock clock;
    private final Duration wait;
    private final Duration pause;
    private final BiConsumer<RowPage, Boolean> pages;
    private final BackOff backOff;
    private long revision = -1;
    private boolean lost = true;
    private boolean following;
    private Runnable failure = () -> {};
    private boolean failed;
    private long failedNanos;
    private int round;

    /**
     * Creates a follower.
     *
     * @param wait longest time that the store holds a question for changes
     * @param pause time between an answer and the next question, in which changes add up
     * @param pages takes each page, and whether it is a whole list
     */
    TableFollower(
            RowStore store,
            String table,
            Scheduler scheduler,
            Clock clock,
            RandomGenerator random,
            Duration wait,
            Duration pause,
            BiConsumer<RowPage, Boolean> pages) {
        this.store = store;
        this.table = table;
        this.scheduler = scheduler;
        this.clock = clock;
        this.wait = wait;
        this.pause = pause;
        this.pages = pages;
        this.backOff = new BackOff(FIRST_RETRY, LONGEST_RETRY, random);
    }

    /** Follows the table from now on; does nothing if it does so already. */
    void start() {
        if (!following) {
            following = true;
            revision = -1;
            round++;
            ask(round);
        }
    }

    /** Follows the table no more; the answer to a question on its way is not used. */
    void stop() {
        following = false;
        round++;
    }

    /** Asks anew, since the connection of the running question may have gone silent. */
    void restart() {
        if (following) {
            round++;
            ask(round);
        }
    }

    /** Runs an action when the store begins to fail. */
    void onFailure(Runnable action) {
        failure = action;
    }

    /** Returns whether the store did not answer lately. */
    boolean failing() {
        return failed && clock.nanos() - failedNanos < FAILING_NANOS;
    }

    boolean following() {
        return following;
    }

    private void ask(int asked) {
        if (!following || asked != round) {
            return;
        }
        boolean whole = revision < 0;
        (whole ? store.list(table) : store.feed(table, revision, wait))
                .whenComplete(
                        (page, thrown) ->
                                scheduler.execute(() -> answered(asked, page, thrown, whole)));
    }

    private void answered(
            int asked, @Nullable RowPage page, @Nullable Throwable thrown, boolean whole) {
        if (!following || asked != round) {
            return;
        }
        if (page == null) {
            failed(asked, thrown);
            return;
        }
        if (lost) {
            lost = false;
            log.info("store regained table={} revision={}", table, page.revision());
        }
        failed = false;
        backOff.reset();
        revision = Math.max(revision, page.revision());
        pages.accept(page, whole);
        scheduler.after(pause, () -> ask(asked));
    }

    private void failed(int asked, @Nullable Throwable thrown) {
        Throwable cause = Failures.cause(thrown);
        if (cause instanceof HistoryLostException) {
            log.info("store dropped its history table={} revision={}", table, revision);
            revision = -1;
            ask(asked);
            return;
        }
        failed = true;
        failedNanos = clock.nanos();
        if (!lost) {
            lost = true;
            failure.run();
            log.warn("store lost table={} cause=\"{}\"", table, String.valueOf(cause));
        }
        scheduler.after(backOff.next(), () -> ask(asked));
    }
}
