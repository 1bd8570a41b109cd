package dev.zinniaring.calls;

import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Computes when a refused caller should retry. The times are randomized over the interval in which
 * an answer could still meet the target, so that many refused callers do not retry simultaneously.
 */
final class RetryAfter {
    /** Maximum delay as a fraction of the time left; callers wait for at most a third of it. */
    private static final double MAX_DELAY_FRACTION = 0.3;

    /** Lower bound of the maximum delay, unless the time to the deadline requires less. */
    private static final double MIN_LATEST_MILLIS = 20;

    /** Minimum delay as a fraction of the maximum delay. */
    private static final double MIN_DELAY_FRACTION = 0.3;

    /** Interval over which callers return that wait for the same event. */
    private static final double RETURN_SPREAD_MILLIS = 200;

    private RetryAfter() {}

    /**
     * Returns the value of a {@code Retry-After} header for callers that should return after an
     * event, in seconds.
     *
     * @param eventMillis time until the event, negative once it has passed
     * @param leftMillis time until the deadline
     */
    static String secondsAfter(double eventMillis, double leftMillis, RandomGenerator random) {
        double millis = Math.max(0, eventMillis) + random.nextDouble() * RETURN_SPREAD_MILLIS;
        return seconds(Math.min(millis, Math.max(1, MAX_DELAY_FRACTION * leftMillis)));
    }

    /**
     * Returns the value of a {@code Retry-After} header, in seconds.
     *
     * @param targetLeftMillis time until the target, negative once it has passed
     * @param leftMillis time until the deadline
     * @param runMillis expected run time of the call
     * @param roomMillis time until a server is expected to have room
     */
    static String seconds(
            double targetLeftMillis,
            double leftMillis,
            double runMillis,
            double roomMillis,
            RandomGenerator random) {
        double latestMillis = Math.max(MIN_LATEST_MILLIS, targetLeftMillis - 2 * runMillis);
        latestMillis = Math.min(latestMillis, Math.max(1, MAX_DELAY_FRACTION * leftMillis));
        double earliestMillis =
                Math.max(MIN_DELAY_FRACTION * latestMillis, Math.min(roomMillis, latestMillis));
        double millis = earliestMillis + random.nextDouble() * (latestMillis - earliestMillis);
        return seconds(millis);
    }

    private static String seconds(double millis) {
        return String.format(Locale.ROOT, "%.3f", millis / 1000);
    }
}
