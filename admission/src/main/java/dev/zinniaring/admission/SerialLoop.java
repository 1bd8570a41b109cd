package dev.zinniaring.admission;

import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Runs a step on one thread at a time without a lock. A thread that requests a run while another
 * thread is running the step returns immediately, and the other thread repeats the step.
 */
final class SerialLoop {
    private final AtomicInteger requests = new AtomicInteger();

    /**
     * Runs {@code step} on this thread, or makes the thread that is running it repeat it.
     *
     * @throws RuntimeException the first exception that a step threw, with later ones suppressed
     */
    void run(Runnable step) {
        if (requests.getAndIncrement() != 0) {
            return;
        }
        RuntimeException failure = null;
        int handled = 1;
        while (handled != 0) {
            failure = merge(failure, attempt(step));
            handled = requests.addAndGet(-handled);
        }
        if (failure != null) {
            throw failure;
        }
    }

    // An exception, such as one thrown by a callback, must not leave the counter above 0, because
    // then no thread would run the step again.
    private static @Nullable RuntimeException attempt(Runnable step) {
        try {
            step.run();
            return null;
        } catch (RuntimeException e) {
            return e;
        }
    }

    private static @Nullable RuntimeException merge(
            @Nullable RuntimeException first, @Nullable RuntimeException next) {
        if (first == null) {
            return next;
        }
        if (next != null) {
            first.addSuppressed(next);
        }
        return first;
    }
}
