package dev.zinniaring.transport;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential back-off with full jitter: each delay is random between zero and an upper bound that
 * doubles with every failure. Not thread-safe.
 *
 * <pre>{@code
 * FullJitterBackOff backOff =
 *         new FullJitterBackOff(Duration.ofMillis(100), Duration.ofSeconds(10), random);
 * scheduler.after(backOff.next(), this::connect);
 * }</pre>
 */
public final class FullJitterBackOff {
    private final long firstNanos;
    private final long maxNanos;
    private final RandomGenerator random;
    private long boundNanos;

    /**
     * Creates a back-off.
     *
     * @param first upper bound of the first delay, above zero
     * @param max largest upper bound, at least {@code first}
     */
    public FullJitterBackOff(Duration first, Duration max, RandomGenerator random) {
        if (first.isNegative() || first.isZero() || max.compareTo(first) < 0) {
            throw new IllegalArgumentException(
                    "first must be above zero and at most max, were " + first + " and " + max);
        }
        this.firstNanos = first.toNanos();
        this.maxNanos = max.toNanos();
        this.random = random;
        this.boundNanos = firstNanos;
    }

    /** Returns the delay before the next attempt and doubles the bound of the following one. */
    public Duration next() {
        long delayNanos = random.nextLong(boundNanos + 1);
        boundNanos = Math.min(maxNanos, 2 * boundNanos);
        return Duration.ofNanos(delayNanos);
    }

    /** Resets the bound after a success. */
    public void reset() {
        boundNanos = firstNanos;
    }
}
