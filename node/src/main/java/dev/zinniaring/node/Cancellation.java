package dev.zinniaring.node;

import java.util.concurrent.atomic.AtomicReference;

/** Ends what is done on behalf of a caller when the caller's connection goes away. */
final class Cancellation {
    private static final Runnable NOTHING = () -> {};
    private static final Runnable CANCELLED = () -> {};

    private final AtomicReference<Runnable> action = new AtomicReference<>(NOTHING);

    /** Sets what is to be ended; ends it at once if the caller has already gone. */
    void onCancel(Runnable task) {
        Runnable before = action.get();
        while (before != CANCELLED) {
            if (action.compareAndSet(before, task)) {
                return;
            }
            before = action.get();
        }
        task.run();
    }

    void cancel() {
        Runnable task = action.getAndSet(CANCELLED);
        if (task != null && task != CANCELLED) {
            task.run();
        }
    }

    boolean cancelled() {
        return action.get() == CANCELLED;
    }
}
