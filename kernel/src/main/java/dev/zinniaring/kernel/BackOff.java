package dev.zinniaring.kernel;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Delays between attempts: each is random between half and all of a step that doubles up to a
 * bound.
 */
public final class BackOff {
    private static final int MAX_DOUBLINGS = 16;

    private final long firstMillis;
    private final long maxMillis;
    private final RandomGenerator random;
    private int attempts;

    /**
     * Creates a back-off.
     *
     * @param first first step
     * @param max longest step
     */
    public BackOff(Duration first, Duration max, RandomGenerator random) {
        this.firstMillis = first.toMillis();
        this.maxMillis = max.toMillis();
        this.random = random;
    }

    /** Returns the next delay. */
    public Duration next() {
        long stepMillis = Math.min(maxMillis, firstMillis << Math.min(attempts, MAX_DOUBLINGS));
        attempts++;
        return Duration.ofMillis(stepMillis / 2 + random.nextLong(stepMillis / 2 + 1));
    }

    /** Returns how many delays were handed out since the last success. */
    public int attempts() {
        return attempts;
    }

    /** Starts over after a success. */
    public void reset() {
        attempts = 0;
    }
}
