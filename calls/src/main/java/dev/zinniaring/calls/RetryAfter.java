package dev.zinniaring.calls;

import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Chooses when a refused caller may come back: spread over the time in which an answer would still
 * come within its target, so that the callers of a flood do not return together.
 */
final class RetryAfter {
    /** Callers wait for at most a third of the time that they have left. */
    private static final double LONGEST_SHARE = 0.3;

    private static final double SHORTEST_MILLIS = 20;
    private static final double EARLIEST_SHARE = 0.3;

    private RetryAfter() {}

    /**
     * Returns the value of a {@code Retry-After} header, in seconds.
     *
     * @param targetLeftMillis time until the target
     * @param leftMillis time until the deadline
     * @param runMillis expected time of a run
     */
    static String seconds(
            double targetLeftMillis, double leftMillis, double runMillis, RandomGenerator random) {
        double latest = Math.max(SHORTEST_MILLIS, targetLeftMillis - 2 * runMillis);
        latest = Math.min(latest, Math.max(1, LONGEST_SHARE * leftMillis));
        double earliest = EARLIEST_SHARE * latest;
        double millis = earliest + random.nextDouble() * (latest - earliest);
        return String.format(Locale.ROOT, "%.3f", millis / 1000);
    }
}
