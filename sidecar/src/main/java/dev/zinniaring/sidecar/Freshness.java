package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.Clock;

/**
 * How long ago the store confirmed what this node knows: by its own answer, or by that of a node
 * which told this one and then had nothing newer.
 */
final class Freshness {
    /** Age before anything has been confirmed. */
    static final long NEVER_MILLIS = 3_600_000;

    private final Clock clock;
    private long confirmedNanos;

    Freshness(Clock clock) {
        this.clock = clock;
        this.confirmedNanos = clock.nanos() - NEVER_MILLIS * 1_000_000L;
    }

    /** Notes that this was confirmed some time ago. */
    void confirmed(long ageMillis) {
        long nanos = clock.nanos() - Math.max(0, ageMillis) * 1_000_000L;
        if (nanos - confirmedNanos > 0) {
            confirmedNanos = nanos;
        }
    }

    long ageMillis() {
        return (clock.nanos() - confirmedNanos) / 1_000_000L;
    }
}
