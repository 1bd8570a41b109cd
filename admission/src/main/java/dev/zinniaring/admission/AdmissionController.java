package dev.zinniaring.admission;

/**
 * Decides which calls a backend server runs, and when. One for each backend server. Safe for use by
 * several threads.
 *
 * <pre>{@code
 * AdmissionController admission = RankedAdmission.builder().slots(6).ranks(ranks).build();
 * Ticket ticket = admission.admit(new CallInfo(rank.order(), deadlineNanos), callback);
 * }</pre>
 */
public interface AdmissionController {
    /** The pressure while every rank is admitted. */
    int NO_PRESSURE = Integer.MAX_VALUE;

    /**
     * Asks for the admission of a call. The callback is called exactly once, often before this
     * method returns.
     */
    Ticket admit(CallInfo call, AdmissionCallback callback);

    /**
     * Returns the order of the least urgent rank of which no call was shed for load lately, or
     * {@link #NO_PRESSURE} if that holds for every rank.
     */
    int pressure();

    /**
     * Changes the number of slots; running calls are not affected.
     *
     * @throws IllegalArgumentException if {@code slots} is below 1
     */
    void resize(int slots);

    /** Sheds queued and new calls from now on; running calls finish. */
    void drain();

    /**
     * Sheds queued calls that have waited too long or can no longer complete in time. To be called
     * by a timer, about every 10 ms.
     */
    void expire();

    /** Returns a picture of the controller. */
    AdmissionState state();
}
