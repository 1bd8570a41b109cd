package dev.zinniaring.kernel;

/**
 * Rate limiter that allows a sustained rate with a bounded burst. Thread-safe.
 *
 * <pre>{@code
 * TokenBucket accepts = new TokenBucket(clock, 50, 100);
 * if (!accepts.take()) refuse(connection);
 * }</pre>
 */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock clock;
    private final double perSecond;
    private final double burst;
    private double tokens;
    private long lastRefillNanos;

    /**
     * Creates a full bucket.
     *
     * @param perSecond tokens added per second, at least 0
     * @param burst capacity in tokens, at least 1
     */
    public TokenBucket(Clock clock, double perSecond, double burst) {
        if (perSecond < 0) {
            throw new IllegalArgumentException("perSecond must not be negative, was " + perSecond);
        }
        if (burst < 1) {
            throw new IllegalArgumentException("burst must be at least 1, was " + burst);
        }
        this.clock = clock;
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
        this.lastRefillNanos = clock.nanos();
    }

    /** Takes a token if one is available. Returns whether it did. */
    public synchronized boolean take() {
        long nowNanos = clock.nanos();
        double refill = (nowNanos - lastRefillNanos) / NANOS_PER_SECOND * perSecond;
        tokens = Math.min(burst, tokens + refill);
        lastRefillNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
