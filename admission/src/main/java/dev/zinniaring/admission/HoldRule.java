package dev.zinniaring.admission;

import java.util.function.BooleanSupplier;

/** Decides whether a request that was in flight when backend servers crashed may run. */
public interface HoldRule {
    /**
     * Returns the verdict on a request.
     *
     * @param crashes number of crashes that no completed run has cleared, at least 1
     * @param shared whether another suspect was in flight at all of these crashes; evaluated only
     *     if needed
     */
    CrashGuard.Verdict verdict(int crashes, BooleanSupplier shared);

    /**
     * Holds a request after two crashes if no other suspect was in flight at both, and after three
     * in any case. Until then, suspects run at different servers, so that the cause can be found.
     */
    static HoldRule whenCauseIsCertain() {
        return (crashes, shared) -> {
            boolean certain = crashes >= 3 || (crashes == 2 && !shared.getAsBoolean());
            return certain ? CrashGuard.Verdict.HOLD : CrashGuard.Verdict.RUN_ISOLATED;
        };
    }

    /** Holds a request after two crashes. A baseline that also refuses harmless requests. */
    static HoldRule atTwoCrashes() {
        return (crashes, shared) -> crashes >= 2 ? CrashGuard.Verdict.HOLD : CrashGuard.Verdict.RUN;
    }

    /** Never holds a request. A baseline without protection. */
    static HoldRule never() {
        return (crashes, shared) -> CrashGuard.Verdict.RUN;
    }
}
