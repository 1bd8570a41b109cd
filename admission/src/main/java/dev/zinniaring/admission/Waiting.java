package dev.zinniaring.admission;

import java.util.concurrent.atomic.AtomicBoolean;

/** A call in the queue. */
final class Waiting {
    final int rank;
    final long deadlineNanos;
    final long arrivedNanos;
    final AdmissionCallback callback;
    private final AtomicBoolean decided = new AtomicBoolean();

    Waiting(int rank, long deadlineNanos, long arrivedNanos, AdmissionCallback callback) {
        this.rank = rank;
        this.deadlineNanos = deadlineNanos;
        this.arrivedNanos = arrivedNanos;
        this.callback = callback;
    }

    /** Returns true to exactly one caller, which then tells the callback. */
    boolean decide() {
        return decided.compareAndSet(false, true);
    }

    boolean decided() {
        return decided.get();
    }
}
