package dev.zinniaring.bench;

import dev.zinniaring.kernel.Clock;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Bounded waiting in experiments. */
final class Await {
    private static final long POLL_MILLIS = 2;

    private Await() {}

    /** Waits until a condition holds and returns the time that it took. */
    static Duration until(BooleanSupplier condition, Duration limit, Supplier<String> what)
            throws ExperimentException {
        Clock clock = Clock.system();
        long startNanos = clock.nanos();
        while (!condition.getAsBoolean()) {
            if (clock.since(startNanos).compareTo(limit) > 0) {
                throw new ExperimentException("not reached within " + limit + ": " + what.get());
            }
            pause(Duration.ofMillis(POLL_MILLIS));
        }
        return clock.since(startNanos);
    }

    /** Lets time pass. */
    static void pause(Duration time) throws ExperimentException {
        try {
            TimeUnit.NANOSECONDS.sleep(time.toNanos());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ExperimentException("interrupted", e);
        }
    }
}
