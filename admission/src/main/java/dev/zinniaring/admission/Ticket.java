package dev.zinniaring.admission;

/** A call that asked for admission. */
public interface Ticket {
    /**
     * Takes the call out of the queue, whose callback is then told {@link ShedReason#CANCELLED}.
     * Has no effect on a call that was granted or shed.
     */
    void cancel();
}
