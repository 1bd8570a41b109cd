package dev.zinniaring.admission;

/** How the run of an admitted call ended. */
public enum RunOutcome {
    /** The backend server answered. */
    COMPLETED,
    /** The backend server reported overload, or the call timed out. */
    OVERLOADED,
    /** The connection broke, or the latency of the answer is not meaningful. */
    FAILED,
    /** The caller gave up, or the call was never sent. */
    CANCELLED
}
