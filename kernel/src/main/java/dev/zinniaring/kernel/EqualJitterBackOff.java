package dev.zinniaring.kernel;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential back-off with equal jitter: each delay is random between half of a step and the whole
 * step. The step doubles with every attempt, up to a maximum. Not thread-safe.
 */
public final class EqualJitterBackOff {
    private static final int MAX_DOUBLINGS = 16;

    private final long firstMillis;
    private final long maxMillis;
    private final RandomGenerator random;
    private int attempts;

    /**
     * Creates a back-off.
     *
     * @param first step of the first delay
     * @param max maximum step
     */
    public EqualJitterBackOff(Duration first, Duration max, RandomGenerator random) {
        this.firstMillis = first.toMillis();
        this.maxMillis = max.toMillis();
        this.random = random;
    }

    /** Returns the delay before the next attempt and doubles the step of the following one. */
    public Duration next() {
        long stepMillis = Math.min(maxMillis, firstMillis << Math.min(attempts, MAX_DOUBLINGS));
        attempts++;
        return Duration.ofMillis(stepMillis / 2 + random.nextLong(stepMillis / 2 + 1));
    }

    /** Returns the number of delays returned since the last reset. */
    public int attempts() {
        return attempts;
    }

    /** Resets the step and the number of attempts after a success. */
    public void reset() {
        attempts = 0;
    }
}
