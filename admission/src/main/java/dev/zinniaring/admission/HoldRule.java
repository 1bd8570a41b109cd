package dev.zinniaring.admission;

import java.util.function.BooleanSupplier;

/** Decides what may be done with a request that was in flight at crashes. */
public interface HoldRule {
    /**
     * Returns the verdict.
     *
     * @param crashes crashes of which no completed run has cleared the request, at least 1
     * @param shared whether another suspect was in flight at all of these crashes
     */
    CrashGuard.Verdict verdict(int crashes, BooleanSupplier shared);

    /**
     * Holds at two crashes if no other suspect explains both, and at three in any case. Requests
     * that cannot be told apart yet run apart from each other.
     */
    static HoldRule withEvidence() {
        return (crashes, shared) -> {
            boolean certain = crashes >= 3 || (crashes == 2 && !shared.getAsBoolean());
            return certain ? CrashGuard.Verdict.HOLD : CrashGuard.Verdict.RUN_APART;
        };
    }

    /** Holds at two crashes: the baseline that refuses innocent calls as well. */
    static HoldRule atTwoCrashes() {
        return (crashes, shared) -> crashes >= 2 ? CrashGuard.Verdict.HOLD : CrashGuard.Verdict.RUN;
    }

    /** Holds nothing: the baseline without protection. */
    static HoldRule never() {
        return (crashes, shared) -> CrashGuard.Verdict.RUN;
    }
}
