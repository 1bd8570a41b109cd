package dev.zinniaring.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: each delay is uniformly distributed between zero and a
 * bound that doubles with each attempt, up to a maximum.
 */
final class Backoff {
    private static final int MAX_DOUBLINGS = 30;

    private final Duration base;
    private final Duration max;
    private final RandomGenerator random;

    Backoff(Duration base, Duration max, RandomGenerator random) {
        this.base = base;
        this.max = max;
        this.random = random;
    }

    /** Returns the delay after failed attempt number {@code attempt}, counted from 1. */
    Duration afterAttempt(int attempt) {
        int doublings = Math.min(attempt - 1, MAX_DOUBLINGS);
        long boundNanos = Math.min(max.toNanos(), base.toNanos() << doublings);
        synchronized (random) {
            return Duration.ofNanos(random.nextLong(boundNanos + 1));
        }
    }
}
