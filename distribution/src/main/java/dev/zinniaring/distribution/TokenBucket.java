package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Clock;

/** Limits how often something is done. Not safe for use by several threads. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock clock;
    private final double perSecond;
    private final double burst;
    private double tokens;
    private long lastNanos;

    TokenBucket(Clock clock, double perSecond, double burst) {
        this.clock = clock;
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
        this.lastNanos = clock.nanos();
    }

    /** Takes a token if there is one. */
    boolean take() {
        long nowNanos = clock.nanos();
        tokens = Math.min(burst, tokens + (nowNanos - lastNanos) / NANOS_PER_SECOND * perSecond);
        lastNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
