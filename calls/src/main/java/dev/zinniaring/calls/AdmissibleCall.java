package dev.zinniaring.calls;

/** What the admission to a backend server needs to know of a call. */
interface AdmissibleCall {
    /** Returns the order of the call's rank, 0 for the most urgent. */
    int rankOrder();

    /** Returns whether a client account makes the call, rather than another backend server. */
    default boolean ofAccount() {
        return false;
    }

    /** Returns the name of the call's route. */
    String routeName();

    /** Returns the latency target that the route declares, in milliseconds. */
    long routeTargetMillis();

    /** Returns the clock reading of the latency target, up to which an answer has full value. */
    long targetNanos();

    /** Returns the clock reading after which the caller no longer wants an answer. */
    long deadlineNanos();
}
