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
        return whenCauseIsCertain(1);
    }

    /**
     * Like {@link #whenCauseIsCertain()}, but suspects run anywhere until a number of crashes. With
     * 2, the requests that a crash interrupted can all run again at once on the remaining servers.
     *
     * @param isolatedFrom number of crashes from which suspects run at different servers, 1 or 2
     */
    static HoldRule whenCauseIsCertain(int isolatedFrom) {
        return (crashes, shared) -> {
            if (crashes >= 3 || (crashes == 2 && !shared.getAsBoolean())) {
                return CrashGuard.Verdict.HOLD;
            }
            return crashes >= isolatedFrom
                    ? CrashGuard.Verdict.RUN_ISOLATED
                    : CrashGuard.Verdict.RUN;
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
