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

    /**
     * Part of the declared burst that an account may make at once after a pause. The rest is spread
     * over the window, so that steady demand gets all that a window allows.
     */
    private static final double AT_ONCE = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the calls that an account may make at once after a pause. */
    double burst(Quota quota) {
        double tolerated =
                overage * (quota.perSecond() * windowSeconds() + quota.burst()) + slackCalls;
        return Math.max(1, AT_ONCE * quota.burst() + USABLE * tolerated);
    }

    /** Returns the calls a second that an account may make without pause. */
    double perSecond(Quota quota) {
        return quota.perSecond() + (1 - AT_ONCE) * quota.burst() / windowSeconds();
    }

    private double windowSeconds() {
        return window.toMillis() / MILLIS_PER_SECOND;
    }
}
