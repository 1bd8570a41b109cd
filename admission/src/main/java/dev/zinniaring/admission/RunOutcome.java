package dev.zinniaring.admission;

/** How the run of an admitted call ended. */
public enum RunOutcome {
    /** The backend server answered. */
    COMPLETED,
    /** The backend server answered that it is overloaded, or ran into a timeout. */
    OVERLOADED,
    /** The connection broke, or the answer is of no use for measuring. */
    FAILED,
    /** The caller gave up, or the call was never sent. */
    CANCELLED
}
