package dev.zinniaring.kernel;

import java.time.Duration;

/** Runs tasks later. The shells around decisions take one, so that tests can run timers by hand. */
public interface Scheduler {
    /** Runs {@code task} once after {@code delay}. */
    Cancellable after(Duration delay, Runnable task);

    /**
     * Runs {@code task} every {@code period}, first after one period. A task that throws keeps its
     * schedule.
     */
    Cancellable every(Duration period, Runnable task);

    /** Runs {@code task} as soon as a thread is free. */
    void execute(Runnable task);

    /** A scheduled task that can be called off. */
    interface Cancellable {
        /** Prevents runs that have not begun; does nothing if called again. */
        void cancel();
    }
}
