package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;

/**
 * Paces the requests to a backend server that names a limit, as a token bucket with the named rate.
 * It answers a load above what a server in need takes: each request either starts now or has a
 * known wait, by which callers place it elsewhere or are told when to come back. Without a limit,
 * requests are not held back. Thread-safe.
 *
 * <pre>{@code
 * limit.name(26.4);
 * if (limit.waitNanos(0) == 0) { limit.take(); send(request); }
 * }</pre>
 */
public final class ServerRateLimit {
    /** Value of {@link #perSecond} while the server names no limit. */
    public static final double NONE = Double.POSITIVE_INFINITY;

    /** Capacity of the bucket, as the time in which it fills. */
    private static final double BURST_SECONDS = 0.25;

    /** Rate for a server that takes less, since only its answers tell that it has recovered. */
    private static final double MIN_PER_SECOND = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock clock;
    private double perSecond = NONE;
    private double tokens;
    private long refilledNanos;

    /** Creates a limit that holds nothing back until one is named. */
    public ServerRateLimit(Clock clock) {
        this.clock = clock;
        this.refilledNanos = clock.nanos();
    }

    /**
     * Sets the limit that the server names. The bucket of a first limit is empty, since the server
     * still works on earlier requests.
     *
     * @param limitPerSecond requests per second, at least 0, or {@link #NONE}
     */
    public synchronized void name(double limitPerSecond) {
        refill();
        perSecond = limitPerSecond;
        tokens = perSecond == NONE ? 0 : Math.min(tokens, burst());
    }

    /** Returns the limit that the server names, in requests per second. */
    public synchronized double perSecond() {
        return perSecond;
    }

    /** Returns whether the server names a limit. */
    public synchronized boolean named() {
        return perSecond != NONE;
    }

    /** Records that a request is sent. */
    public synchronized void take() {
        if (perSecond != NONE) {
            refill();
            tokens--;
        }
    }

    /** Takes a token if a request may be sent now. Returns whether it did. */
    public synchronized boolean tryTake() {
        boolean allowed = waitNanos(0) == 0;
        if (allowed) {
            take();
        }
        return allowed;
    }

    /** Returns the time until a request may be sent if others go first; 0 if it may be sent now. */
    public synchronized long waitNanos(int ahead) {
        if (perSecond == NONE) {
            return 0;
        }
        refill();
        double missing = ahead + 1 - tokens;
        return missing <= 0 ? 0 : (long) Math.ceil(missing / rate() * NANOS_PER_SECOND);
    }

    private void refill() {
        long nowNanos = clock.nanos();
        if (perSecond != NONE) {
            double refill = (nowNanos - refilledNanos) / NANOS_PER_SECOND * rate();
            tokens = Math.min(burst(), tokens + refill);
        }
        refilledNanos = nowNanos;
    }

    private double rate() {
        return Math.max(MIN_PER_SECOND, perSecond);
    }

    private double burst() {
        return Math.max(1, rate() * BURST_SECONDS);
    }
}
