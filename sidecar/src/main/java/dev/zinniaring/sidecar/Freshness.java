package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.Clock;

/**
 * Tracks how long ago the store confirmed this node's state: by a direct answer, or through the
 * digest of a peer, which gives the age of the peer's own confirmation and counts if it contains
 * nothing newer.
 */
final class Freshness {
    /** Age reported before the first confirmation. */
    static final long NEVER_MILLIS = 3_600_000;

    private final Clock clock;
    private long confirmedNanos;

    Freshness(Clock clock) {
        this.clock = clock;
        this.confirmedNanos = clock.nanos() - NEVER_MILLIS * 1_000_000L;
    }

    /** Records a confirmation of the given age; ignored if a later one is known. */
    void recordConfirmation(long ageMillis) {
        long nanos = clock.nanos() - Math.max(0, ageMillis) * 1_000_000L;
        if (nanos - confirmedNanos > 0) {
            confirmedNanos = nanos;
        }
    }

    long ageMillis() {
        return (clock.nanos() - confirmedNanos) / 1_000_000L;
    }
}
