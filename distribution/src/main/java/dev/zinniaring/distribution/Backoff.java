package dev.zinniaring.distribution;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Delays that double up to a limit, each drawn between half of the step and the step. */
final class Backoff {
    private final long firstMillis;
    private final long maxMillis;
    private final RandomGenerator random;
    private int attempts;

    Backoff(Duration first, Duration max, RandomGenerator random) {
        this.firstMillis = first.toMillis();
        this.maxMillis = max.toMillis();
        this.random = random;
    }

    /** Returns the next delay. */
    Duration next() {
        long step = Math.min(maxMillis, firstMillis << Math.min(attempts, 16));
        attempts++;
        return Duration.ofMillis(step / 2 + random.nextLong(step / 2 + 1));
    }

    /** Returns how many delays were handed out. */
    int attempts() {
        return attempts;
    }
}
