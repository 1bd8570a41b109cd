package dev.zinniaring.admission;

/**
 * Receives the decision on a call that requested admission. Exactly one of the methods is invoked,
 * once. The invocation may happen on the thread that called {@code admit}, on a thread that
 * releases another permit or on a timer thread, so implementations must not block.
 */
public interface AdmissionCallback {
    /** The call may run now; the permit must be released when the run ends. */
    void granted(Permit permit);

    /** The call was shed and does not run. */
    void shed(ShedReason reason);
}
