package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.Clock;
import java.time.Duration;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures how far the event loop is behind, by the delay of a periodic task: calls, answers, ends
 * of connections and digests wait as long.
 */
final class LoopLag {
    private static final Logger log = LoggerFactory.getLogger("node");

    /** Lag from which the loop is reported as behind. */
    private static final long BEHIND_NANOS = 500_000_000L;

    /** Lag below which it is reported as having caught up. */
    private static final long CAUGHT_UP_NANOS = 100_000_000L;

    private final Clock clock;
    private final long periodNanos;
    private final LongConsumer samples;
    private long lastNanos;
    private long lagNanos;
    private long longestNanos;
    private boolean behind;

    /**
     * Creates a measurement that starts now.
     *
     * @param period period of the task that calls {@link #sample}
     * @param samples receives each lag, in nanoseconds
     */
    LoopLag(Clock clock, Duration period, LongConsumer samples) {
        this.clock = clock;
        this.periodNanos = period.toNanos();
        this.samples = samples;
        this.lastNanos = clock.nanos();
    }

    /** Takes a sample; to be called by the periodic task. */
    void sample() {
        long nowNanos = clock.nanos();
        lagNanos = Math.max(0, nowNanos - lastNanos - periodNanos);
        lastNanos = nowNanos;
        samples.accept(lagNanos);
        if (lagNanos >= BEHIND_NANOS && !behind) {
            behind = true;
            longestNanos = 0;
            log.warn("event loop is behind lag_ms={}", lagNanos / 1_000_000L);
        }
        longestNanos = Math.max(longestNanos, lagNanos);
        if (behind && lagNanos < CAUGHT_UP_NANOS) {
            behind = false;
            log.info("event loop has caught up longest_lag_ms={}", longestNanos / 1_000_000L);
        }
    }

    /** Returns the latest lag, in milliseconds. */
    long millis() {
        return lagNanos / 1_000_000L;
    }

    /** Returns whether the loop was reported as behind and has not caught up since. */
    boolean behind() {
        return behind;
    }
}
