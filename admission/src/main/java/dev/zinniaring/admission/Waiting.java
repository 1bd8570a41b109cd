package dev.zinniaring.admission;

import java.util.concurrent.atomic.AtomicBoolean;

/** A call in the queue. */
final class Waiting {
    /** Index of the rank in the controller that holds the call; set before it is queued there. */
    int rank;

    final int rankOrder;
    final long deadlineNanos;
    final long arrivedNanos;
    final AdmissionCallback callback;
    private final AtomicBoolean decided = new AtomicBoolean();

    Waiting(CallInfo call, long arrivedNanos, AdmissionCallback callback) {
        this.rankOrder = call.rankOrder();
        this.deadlineNanos = call.deadlineNanos();
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
