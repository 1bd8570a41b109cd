package dev.zinniaring.kernel;

import java.time.Duration;

/** Runs tasks asynchronously or after a delay, injected so that tests can control timers. */
public interface Scheduler {
    /** Runs {@code task} once after {@code delay}. */
    Cancellable after(Duration delay, Runnable task);

    /**
     * Runs {@code task} every {@code period}, for the first time after one period. A task that
     * throws an exception runs again at its next time.
     */
    Cancellable every(Duration period, Runnable task);

    /** Runs {@code task} as soon as a thread is available. */
    void execute(Runnable task);

    /** A scheduled task that can be cancelled. */
    interface Cancellable {
        /** Prevents runs that have not started. Does nothing if called again. */
        void cancel();
    }
}
