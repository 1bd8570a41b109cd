package dev.zinniaring.admission;

/**
 * Is told what became of a call that asked for admission. Exactly one of the methods is called,
 * once. It may run on the thread that called {@code admit}, on one that releases another permit or
 * on that of a timer, so it must not block.
 */
public interface AdmissionCallback {
    /** The call may run now; the permit must be released when the run has ended. */
    void granted(Permit permit);

    /** The call does not run. */
    void shed(ShedReason reason);
}
