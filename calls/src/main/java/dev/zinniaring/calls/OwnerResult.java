package dev.zinniaring.calls;

import java.util.Locale;
import org.jspecify.annotations.Nullable;

/**
 * What came of a call at the node beside its backend server.
 *
 * @param outcome what is known
 * @param reason short word for the cause; empty if the call ran
 * @param answer the answer of the backend server, if there is one
 * @param load load of the backend server, if known
 */
record OwnerResult(
        Outcome outcome, String reason, @Nullable Answer answer, @Nullable ServerLoad load) {
    /** What is known of a call. */
    enum Outcome {
        /** A backend server ran it and gave its whole answer. */
        RAN,
        /** It reached a backend server, which said that it did not run it. */
        DECLINED,
        /** It did not reach a backend server and never will. */
        NOT_RUN,
        /** It may have run. */
        UNKNOWN;

        String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        static Outcome of(@Nullable String word) {
            for (Outcome outcome : values()) {
                if (outcome.word().equals(word)) {
                    return outcome;
                }
            }
            return UNKNOWN;
        }
    }

    static OwnerResult ran(Answer answer, ServerLoad load) {
        return new OwnerResult(Outcome.RAN, "", answer, load);
    }

    static OwnerResult declined(String reason, ServerLoad load) {
        return new OwnerResult(Outcome.DECLINED, reason, null, load);
    }

    static OwnerResult notRun(String reason, @Nullable ServerLoad load) {
        return new OwnerResult(Outcome.NOT_RUN, reason, null, load);
    }

    static OwnerResult unknown(String reason, @Nullable ServerLoad load) {
        return new OwnerResult(Outcome.UNKNOWN, reason, null, load);
    }
}
