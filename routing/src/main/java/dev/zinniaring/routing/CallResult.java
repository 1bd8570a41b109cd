package dev.zinniaring.routing;

import org.jspecify.annotations.Nullable;

/**
 * The result of an attempt at a backend server, for load balancing.
 *
 * @param outcome how the attempt ended
 * @param latencyNanos time from the start to the end of the attempt
 * @param load load reported with the answer, or null if there was none
 * @param pressure order of the least urgent rank that the server's node still admits, or {@link
 *     #NO_PRESSURE}
 */
public record CallResult(
        CallOutcome outcome, long latencyNanos, @Nullable ReportedLoad load, int pressure) {
    /** The value of {@link #pressure} while calls of all ranks are admitted. */
    public static final int NO_PRESSURE = Integer.MAX_VALUE;

    /** Returns a result without reported load or pressure. */
    public static CallResult of(CallOutcome outcome, long latencyNanos) {
        return new CallResult(outcome, latencyNanos, null, NO_PRESSURE);
    }

    /** Returns a result with reported load and no pressure. */
    public static CallResult of(CallOutcome outcome, long latencyNanos, ReportedLoad load) {
        return new CallResult(outcome, latencyNanos, load, NO_PRESSURE);
    }
}
