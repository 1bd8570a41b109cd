package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a call should rather go to another server, since this one is slow at the moment.
 * It answers servers that share their VMs with others and take two or three times as long for
 * moments of some hundred milliseconds, many times a minute. They say so in their answers; only the
 * node beside a server hears it often enough to act on it.
 */
final class SlowMoments {
    /** Slowdown below which a call stays, as another hop and server are not sure to be better. */
    private static final double MIN_SLOWDOWN = 1.5;

    /** Fraction of the time to its target that a call may be expected to run here. */
    private static final double TARGET_FRACTION = 0.5;

    /** Age at which what the server said no longer counts. */
    private static final long MAX_AGE_NANOS = 400_000_000L;

    private final Clock clock;
    private double slowdown = 1;
    private long saidNanos;

    SlowMoments(Clock clock) {
        this.clock = clock;
        this.saidNanos = clock.nanos();
    }

    /** Records the load that the server names in an answer, null if it names none. */
    void answered(@Nullable NamedLoad load) {
        if (load != null && load.tellsSlowdown()) {
            slowdown = load.slowdown();
            saidNanos = clock.nanos();
        }
    }

    /** Returns how many times as long as usual work takes at the moment, 1 if unknown. */
    double slowdown() {
        return clock.nanos() - saidNanos > MAX_AGE_NANOS ? 1 : slowdown;
    }

    /**
     * Returns whether a call that can still be placed elsewhere should be.
     *
     * @param expectedNanos usual run time of the call
     * @param leftNanos time to its target
     */
    boolean shouldGoElsewhere(long expectedNanos, long leftNanos) {
        double now = slowdown();
        return now >= MIN_SLOWDOWN && now * expectedNanos > TARGET_FRACTION * leftNanos;
    }

    /** Returns the slowdown, for the log. */
    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.2f", slowdown());
    }
}
