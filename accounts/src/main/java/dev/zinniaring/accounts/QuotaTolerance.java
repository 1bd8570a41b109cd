package dev.zinniaring.accounts;

import java.time.Duration;

/**
 * How far the calls of an account may exceed its quota. In any window, an account may make {@code
 * (rate x window + burst) x (1 + overage) + slack} calls.
 *
 * @param window length of the window
 * @param overage fraction of the quota that may be exceeded
 * @param slackCalls calls beyond that
 */
public record QuotaTolerance(Duration window, double overage, double slackCalls) {
    /** Tolerance of operators who name none. */
    public static final QuotaTolerance NONE = new QuotaTolerance(Duration.ofSeconds(1), 0, 0);

    /**
     * Part of the tolerance that an account may use for uneven demand. The rest is for what nodes
     * admit before they have heard of each other.
     */
    private static final double USABLE = 0.5;

    /** Returns the calls that an account may make at once after a pause. */
    double burst(Quota quota) {
        double windowSeconds = window.toMillis() / 1_000.0;
        double tolerated =
                overage * (quota.perSecond() * windowSeconds + quota.burst()) + slackCalls;
        return Math.max(1, quota.burst() + USABLE * tolerated);
    }
}
