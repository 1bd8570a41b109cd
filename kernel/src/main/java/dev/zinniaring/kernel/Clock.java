package dev.zinniaring.kernel;

import java.time.Duration;
import java.time.Instant;

/** Tells the time. Everything that measures or schedules takes one, so that tests can drive it. */
public interface Clock {
    /** Returns the wall-clock time, which may step when the VM's clock is corrected. */
    Instant now();

    /**
     * Returns a monotonic reading in nanoseconds; only differences between readings have meaning.
     */
    long nanos();

    /** Returns the time that has passed since an earlier reading of {@link #nanos()}. */
    default Duration since(long startNanos) {
        return Duration.ofNanos(nanos() - startNanos);
    }

    /** Returns the clock of this VM. */
    static Clock system() {
        return SystemClock.INSTANCE;
    }
}
