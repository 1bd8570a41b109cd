package dev.zinniaring.admission;

import java.util.concurrent.atomic.AtomicBoolean;

/** A call that waits for a slot. */
final class QueuedCall {
    /**
     * Index of the rank in the controller that holds the call. Set before the call is queued there,
     * because a replacement of the controller may have other ranks.
     */
    int rank;

    final int rankOrder;
    final long deadlineNanos;
    final long arrivedNanos;
    final AdmissionCallback callback;
    private final AtomicBoolean decided = new AtomicBoolean();

    QueuedCall(CallInfo call, long arrivedNanos, AdmissionCallback callback) {
        this.rankOrder = call.rankOrder();
        this.deadlineNanos = call.deadlineNanos();
        this.arrivedNanos = arrivedNanos;
        this.callback = callback;
    }

    /** Returns true to exactly one caller, which then has to invoke the callback. */
    boolean tryDecide() {
        return decided.compareAndSet(false, true);
    }

    boolean decided() {
        return decided.get();
    }
}
