package dev.zinniaring.node;

import java.util.concurrent.atomic.AtomicReference;

/** Cancels the work done for a call when the caller disconnects. */
final class Cancellation {
    private static final Runnable NOTHING = () -> {};
    private static final Runnable CANCELLED = () -> {};

    private final AtomicReference<Runnable> action = new AtomicReference<>(NOTHING);

    /** Sets the action that cancels the current work; runs it at once if already cancelled. */
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
