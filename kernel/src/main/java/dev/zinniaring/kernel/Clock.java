package dev.zinniaring.kernel;

import java.time.Duration;
import java.time.Instant;

/** A source of time, injected so that tests can control it. */
public interface Clock {
    /** Returns the wall-clock time, which may jump when the VM's clock is adjusted. */
    Instant now();

    /**
     * Returns a monotonic reading in nanoseconds; only differences between readings are meaningful.
     */
    long nanos();

    /** Returns the time elapsed since an earlier reading of {@link #nanos()}. */
    default Duration since(long startNanos) {
        return Duration.ofNanos(nanos() - startNanos);
    }

    /** Returns the clock of this VM. */
    static Clock system() {
        return SystemClock.INSTANCE;
    }
}
