package dev.zinniaring.store;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Suspends the calling thread. Injected so that tests can advance a manual clock instead. */
@FunctionalInterface
public interface Pause {
    /** Waits for {@code length}; throws if the thread is interrupted. */
    void pause(Duration length) throws InterruptedException;

    /** Returns an implementation that blocks the calling thread. */
    static Pause blocking() {
        return length -> {
            boolean opened = new CountDownLatch(1).await(length.toNanos(), TimeUnit.NANOSECONDS);
            if (opened) {
                throw new IllegalStateException("a latch without a countdown was released");
            }
        };
    }
}
