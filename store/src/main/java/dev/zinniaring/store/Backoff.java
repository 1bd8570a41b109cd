package dev.zinniaring.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential back-off with full jitter: each wait is uniform between zero and a rising bound. */
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

    /** Returns the wait after the given failed attempt, counted from 1. */
    Duration afterAttempt(int attempt) {
        int doublings = Math.min(attempt - 1, MAX_DOUBLINGS);
        long boundNanos = Math.min(max.toNanos(), base.toNanos() << doublings);
        synchronized (random) {
            return Duration.ofNanos(random.nextLong(boundNanos + 1));
        }
    }
}
