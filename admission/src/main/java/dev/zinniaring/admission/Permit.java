package dev.zinniaring.admission;

/** The permission to run one call, which occupies a slot until it is released. */
public interface Permit {
    /**
     * Releases the permit. Only the first call has an effect.
     *
     * @param outcome how the run ended
     * @param latencyNanos time that the backend server took for the call
     */
    void release(RunOutcome outcome, long latencyNanos);
}
