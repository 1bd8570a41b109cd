package dev.zinniaring.admission;

import dev.zinniaring.kernel.RateLimit;

/**
 * Decides which calls a backend server runs, and when. Each backend server has its own instance.
 * Implementations are thread-safe.
 *
 * <pre>{@code
 * AdmissionController admission = RankedAdmission.builder().slots(6).ranks(ranks).build();
 * Ticket ticket = admission.admit(new CallInfo(rank.order(), deadlineNanos), callback);
 * }</pre>
 */
public interface AdmissionController {
    /** The value of {@link #pressure} while calls of all ranks are admitted. */
    int NO_PRESSURE = Integer.MAX_VALUE;

    /**
     * Requests admission of a call. The callback is invoked exactly once, often before this method
     * returns.
     */
    Ticket admit(CallInfo call, AdmissionCallback callback);

    /**
     * Returns the order of the least urgent rank that is still admitted, that is, of which no call
     * was recently shed because of load. Returns {@link #NO_PRESSURE} if calls of all ranks are
     * admitted, and always from a controller that ignores ranks. {@link RankedAdmission} with a
     * single rank always returns the order of that rank.
     */
    int pressure();

    /**
     * Changes the number of slots; running calls are not affected.
     *
     * @throws IllegalArgumentException if {@code slots} is below 1
     */
    void resize(int slots);

    /**
     * Sets the request rate that the backend server accepts, which it names in its answers. Ignored
     * by controllers that serve as baselines.
     *
     * @param perSecond requests per second, at least 0, or {@link RateLimit#NONE}
     */
    default void limitRate(double perSecond) {}

    /** Sheds all queued and new calls from now on; running calls finish normally. */
    void drain();

    /**
     * Sheds queued calls that have waited too long or can no longer complete before their deadline.
     * A timer is expected to call this about every 10 ms.
     */
    void expire();

    /** Returns a snapshot of the counters of this controller. */
    AdmissionState state();
}
