package dev.zinniaring.bench;

import dev.zinniaring.kernel.Clock;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for conditions and durations in experiments. */
final class Await {
    private static final long POLL_MILLIS = 2;

    private Await() {}

    /**
     * Waits until a condition holds and returns how long that took.
     *
     * @param description describes the awaited condition in the error message
     * @throws ExperimentException if the condition does not hold within {@code limit}
     */
    static Duration until(BooleanSupplier condition, Duration limit, Supplier<String> description)
            throws ExperimentException {
        Clock clock = Clock.system();
        long startNanos = clock.nanos();
        while (!condition.getAsBoolean()) {
            if (clock.since(startNanos).compareTo(limit) > 0) {
                throw new ExperimentException(
                        "timed out after " + limit + " waiting for " + description.get());
            }
            pause(Duration.ofMillis(POLL_MILLIS));
        }
        return clock.since(startNanos);
    }

    /** Sleeps for the given time. */
    static void pause(Duration time) throws ExperimentException {
        try {
            TimeUnit.NANOSECONDS.sleep(time.toNanos());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ExperimentException("interrupted", e);
        }
    }
}
