package dev.zinniaring.admission;

/** The right to run one call. */
public interface Permit {
    /**
     * Gives the permit back. Only the first call has an effect.
     *
     * @param outcome how the run ended
     * @param latencyNanos time that the backend server took
     */
    void release(RunOutcome outcome, long latencyNanos);
}
