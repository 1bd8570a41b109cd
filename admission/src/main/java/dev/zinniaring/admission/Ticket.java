package dev.zinniaring.admission;

/** Handle of a call that requested admission. */
public interface Ticket {
    /**
     * Sheds the call with {@link ShedReason#CANCELLED} if it is still queued. Has no effect on a
     * call that has already been granted or shed.
     */
    void cancel();
}
