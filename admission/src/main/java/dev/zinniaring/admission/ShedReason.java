package dev.zinniaring.admission;

/** The reason why a call was shed. A shed call has not run. */
public enum ShedReason {
    /** The queue is full, and no queued call may be evicted for this one. */
    QUEUE_FULL("shed"),
    /** Another call took its place in the full queue. */
    EVICTED("shed"),
    /** The call waited in the queue longer than allowed. */
    QUEUE_TIMEOUT("shed"),
    /** The call cannot complete before its deadline. */
    DEADLINE("deadline"),
    /** The backend server is being drained. */
    DRAINING("draining"),
    /** The caller gave up while the call was queued. */
    CANCELLED("cancelled");

    private final String headerValue;

    ShedReason(String headerValue) {
        this.headerValue = headerValue;
    }

    /** Returns the value of the {@code Zinniaring-Reason} header. */
    public String headerValue() {
        return headerValue;
    }
}
