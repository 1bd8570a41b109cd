package dev.zinniaring.kernel;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Paces the requests to a backend server that names a limit, as a token bucket with the named rate.
 * It answers a load above what a server in need takes: each request either starts now or has a
 * known wait, by which callers place it elsewhere or are told when to come back. Without a limit,
 * requests are not held back. Thread-safe.
 *
 * <pre>{@code
 * limit.set(26.4);
 * if (limit.waitNanos(0) == 0) { limit.take(); send(request); }
 * }</pre>
 */
public final class RateLimit {
    /** Value of {@link #perSecond} while the server names no limit. */
    public static final double NONE = Double.POSITIVE_INFINITY;

    /** Capacity of the bucket, as the time in which it fills. */
    private static final double BURST_SECONDS = 0.25;

    /** Rate for a server that takes less, since only its answers tell that it has recovered. */
    private static final double MIN_PER_SECOND = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock clock;
    private final AtomicReference<Bucket> bucket;

    /** The bucket as of a clock reading; tokens are below 0 after requests sent ahead of time. */
    private record Bucket(double perSecond, double tokens, long readNanos) {
        Bucket at(long nowNanos) {
            double refill = (nowNanos - readNanos) / NANOS_PER_SECOND * rate();
            return new Bucket(perSecond, Math.min(burst(), tokens + refill), nowNanos);
        }

        Bucket withLimit(double limitPerSecond) {
            return new Bucket(limitPerSecond, tokens, readNanos).at(readNanos);
        }

        Bucket less(int taken) {
            return new Bucket(perSecond, tokens - taken, readNanos);
        }

        long waitNanos(int ahead) {
            double missing = ahead + 1 - tokens;
            return missing <= 0 ? 0 : (long) Math.ceil(missing / rate() * NANOS_PER_SECOND);
        }

        private double rate() {
            return Math.max(MIN_PER_SECOND, perSecond);
        }

        private double burst() {
            return Math.max(1, rate() * BURST_SECONDS);
        }
    }

    /** Creates a limit that holds nothing back until one is named. */
    public RateLimit(Clock clock) {
        this.clock = clock;
        this.bucket = new AtomicReference<>(new Bucket(NONE, 0, clock.nanos()));
    }

    /**
     * Sets the limit that the server names. The bucket of a first limit is empty, since the server
     * still works on earlier requests.
     *
     * @param limitPerSecond requests per second, at least 0, or {@link #NONE}
     */
    public void set(double limitPerSecond) {
        long nowNanos = clock.nanos();
        bucket.updateAndGet(
                known ->
                        limitPerSecond == NONE || known.perSecond() == NONE
                                ? new Bucket(limitPerSecond, 0, nowNanos)
                                : known.at(nowNanos).withLimit(limitPerSecond));
    }

    private Bucket bucket() {
        return Objects.requireNonNull(bucket.get());
    }

    /** Returns the limit that the server names, in requests per second. */
    public double perSecond() {
        return bucket().perSecond();
    }

    /** Returns whether the server names a limit. */
    public boolean isSet() {
        return perSecond() != NONE;
    }

    /** Records that a request is sent. */
    public void take() {
        if (isSet()) {
            long nowNanos = clock.nanos();
            bucket.updateAndGet(
                    known -> known.perSecond() == NONE ? known : known.at(nowNanos).less(1));
        }
    }

    /** Takes a token if a request may be sent now. Returns whether it did. */
    public boolean tryTake() {
        while (true) {
            Bucket known = bucket();
            if (known.perSecond() == NONE) {
                return true;
            }
            Bucket now = known.at(clock.nanos());
            if (now.waitNanos(0) > 0) {
                return false;
            }
            if (bucket.compareAndSet(known, now.less(1))) {
                return true;
            }
        }
    }

    /** Returns the time until a request may be sent if others go first; 0 if it may be sent now. */
    public long waitNanos(int ahead) {
        Bucket known = bucket();
        return known.perSecond() == NONE ? 0 : known.at(clock.nanos()).waitNanos(ahead);
    }
}
