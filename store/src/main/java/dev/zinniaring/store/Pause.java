package dev.zinniaring.store;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Lets the calling thread wait. Passed in, so that tests wait on a manual clock. */
@FunctionalInterface
public interface Pause {
    /** Waits for {@code length}. */
    void pause(Duration length) throws InterruptedException;

    /** Returns a pause that blocks the thread. */
    static Pause blocking() {
        return length -> {
            boolean opened = new CountDownLatch(1).await(length.toNanos(), TimeUnit.NANOSECONDS);
            if (opened) {
                throw new IllegalStateException("a latch that nobody counts down was opened");
            }
        };
    }
}
