package dev.zinniaring.kernel;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that moves only when {@link #advance} is called, for tests and seeded experiments.
 *
 * <pre>{@code
 * ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
 * clock.advance(Duration.ofSeconds(3));
 * }</pre>
 */
public final class ManualClock implements Clock {
    private final Instant start;
    private final AtomicLong elapsedNanos = new AtomicLong();

    private ManualClock(Instant start) {
        this.start = start;
    }

    /** Returns a clock that reads {@code start} until it is advanced. */
    public static ManualClock startingAt(Instant start) {
        return new ManualClock(start);
    }

    /**
     * Moves the clock forward.
     *
     * @throws IllegalArgumentException if {@code step} is negative
     */
    public ManualClock advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("step must not be negative, was " + step);
        }
        elapsedNanos.addAndGet(step.toNanos());
        return this;
    }

    @Override
    public Instant now() {
        return start.plusNanos(elapsedNanos.get());
    }

    @Override
    public long nanos() {
        return elapsedNanos.get();
    }
}
