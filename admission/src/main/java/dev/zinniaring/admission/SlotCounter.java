package dev.zinniaring.admission;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the used slots; an acquisition never raises the count above the given limit. */
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
