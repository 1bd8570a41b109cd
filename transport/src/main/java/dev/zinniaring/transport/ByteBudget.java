package dev.zinniaring.transport;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes that callers have submitted to the I/O thread and it has not processed yet. */
final class ByteBudget {
    private final long limit;
    private final AtomicLong used = new AtomicLong();

    ByteBudget(long limit) {
        this.limit = limit;
    }

    boolean tryAcquire(long bytes) {
        long before = used.get();
        while (before + bytes <= limit) {
            if (used.compareAndSet(before, before + bytes)) {
                return true;
            }
            before = used.get();
        }
        return false;
    }

    void release(long bytes) {
        used.addAndGet(-bytes);
    }

    long used() {
        return used.get();
    }
}
