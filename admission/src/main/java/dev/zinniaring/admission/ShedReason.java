package dev.zinniaring.admission;

/** Why a call was shed. A shed call has not run. */
public enum ShedReason {
    /** The queue is full of calls that are as urgent or more urgent. */
    QUEUE_FULL("shed"),
    /** A more urgent call took its place in the queue. */
    EVICTED("shed"),
    /** It waited longer than the queue allows. */
    QUEUE_TIMEOUT("shed"),
    /** It cannot complete before its deadline. */
    DEADLINE("deadline"),
    /** The backend server is leaving. */
    DRAINING("draining"),
    /** The caller gave up while the call was queued. */
    CANCELLED("cancelled");

    private final String word;

    ShedReason(String word) {
        this.word = word;
    }

    /** Returns the value of the {@code Zinniaring-Reason} header. */
    public String word() {
        return word;
    }
}
