package dev.zinniaring.admission;

import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Runs a step on one thread at a time without a lock. A thread that asks for a run while another
 * one is in the step returns at once, and the step is repeated for it.
 */
final class SerialLoop {
    private final AtomicInteger requests = new AtomicInteger();

    /** Runs {@code step} here, or has the thread that is in it repeat it. */
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

    // A failing callback must not leave the counter raised, which would stop the loop for good.
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
