package dev.zinniaring.node;

import dev.zinniaring.admission.AdmissionCallback;
import dev.zinniaring.admission.AdmissionController;
import dev.zinniaring.admission.CallInfo;
import dev.zinniaring.admission.Permit;
import dev.zinniaring.admission.RunOutcome;
import dev.zinniaring.admission.ShedReason;
import dev.zinniaring.admission.Ticket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Blocks the calling thread until a call is admitted or shed. */
final class AdmissionWait implements AdmissionCallback {
    /** Allowance for a late timer: admission sheds queued calls at their deadline by a timer. */
    private static final long TIMER_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final CountDownLatch decided = new CountDownLatch(1);
    private volatile @Nullable Permit permit;
    private volatile @Nullable ShedReason shed;

    /**
     * Waits for the admission of a call and returns its permit.
     *
     * @param leftNanos time left until the deadline
     * @throws CallException if the call was shed or cancelled
     */
    static Permit admit(
            AdmissionController admission, CallInfo call, long leftNanos, Cancellation cancellation)
            throws CallException {
        AdmissionWait wait = new AdmissionWait();
        Ticket ticket = admission.admit(call, wait);
        if (wait.decided.getCount() > 0) {
            cancellation.onCancel(ticket::cancel);
            wait.await(ticket, leftNanos);
        }
        return wait.result(cancellation);
    }

    @Override
    public void granted(Permit granted) {
        permit = granted;
        decided.countDown();
    }

    @Override
    public void shed(ShedReason reason) {
        shed = reason;
        decided.countDown();
    }

    private void await(Ticket ticket, long leftNanos) throws CallException {
        try {
            if (!decided.await(leftNanos + TIMER_SLACK_NANOS, TimeUnit.NANOSECONDS)) {
                // A grant may race with the cancellation; one of the callbacks follows in either
                // case.
                ticket.cancel();
                decided.await();
            }
        } catch (InterruptedException e) {
            ticket.cancel();
            Thread.currentThread().interrupt();
            throw CallException.notRun(503, "stopping");
        }
    }

    private Permit result(Cancellation cancellation) throws CallException {
        Permit granted = permit;
        if (granted == null) {
            ShedReason reason = shed;
            throw CallException.notRun(503, reason == null ? "shed" : reason.headerValue());
        }
        if (cancellation.cancelled()) {
            granted.release(RunOutcome.CANCELLED, 0);
            throw CallException.notRun(503, ShedReason.CANCELLED.headerValue());
        }
        return granted;
    }
}
