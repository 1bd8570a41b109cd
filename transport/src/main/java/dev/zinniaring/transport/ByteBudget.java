package dev.zinniaring.transport;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes that callers have handed to the I/O thread and it has not yet taken. */
final class ByteBudget {
    private final long limit;
    private final AtomicLong used = new AtomicLong();

    ByteBudget(long limit) {
        this.limit = limit;
    }

    boolean tryTake(long bytes) {
        long before = used.get();
        while (before + bytes <= limit) {
            if (used.compareAndSet(before, before + bytes)) {
                return true;
            }
            before = used.get();
        }
        return false;
    }

    void give(long bytes) {
        used.addAndGet(-bytes);
    }

    long used() {
        return used.get();
    }
}
