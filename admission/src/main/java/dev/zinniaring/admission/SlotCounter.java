package dev.zinniaring.admission;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the slots in use; never lets an acquisition go beyond the limit that it is given. */
final class SlotCounter {
    private final AtomicInteger used = new AtomicInteger();

    boolean tryAcquire(int limit) {
        int before = used.get();
        while (before < limit) {
            if (used.compareAndSet(before, before + 1)) {
                return true;
            }
            before = used.get();
        }
        return false;
    }

    void release() {
        used.decrementAndGet();
    }

    int used() {
        return used.get();
    }
}
