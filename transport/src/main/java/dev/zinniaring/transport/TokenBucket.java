package dev.zinniaring.transport;

/** Allows a steady rate with a bounded burst. Used by one thread. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long lastNanos;

    TokenBucket(double perSecond, double burst, long nowNanos) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
        this.lastNanos = nowNanos;
    }

    boolean tryTake(long nowNanos) {
        tokens = Math.min(burst, tokens + perSecond * (nowNanos - lastNanos) / NANOS_PER_SECOND);
        lastNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
