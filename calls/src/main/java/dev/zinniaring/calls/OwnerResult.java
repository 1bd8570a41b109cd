package dev.zinniaring.calls;

import dev.zinniaring.admission.Suspect;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/**
 * Result of a call at the owner node of its backend server.
 *
 * @param outcome whether the call ran
 * @param reason reason code of a refusal or failure; empty if the call ran
 * @param answer the answer of the backend server, if there is one
 * @param load load of the backend server, if known
 * @param suspect what is known of crashes at which the request was in flight, null if nothing
 */
record OwnerResult(
        Outcome outcome,
        String reason,
        @Nullable Answer answer,
        @Nullable ServerLoad load,
        @Nullable Suspect suspect) {
    /** Whether a call was executed, as far as known. */
    enum Outcome {
        /** The backend server ran the call and returned a complete answer. */
        RAN,
        /** The backend server received the call and reported that it did not run it. */
        DECLINED,
        /** The call was not sent to a backend server and will not be. */
        NOT_RUN,
        /** The call may have run. */
        UNKNOWN;

        /** Returns the header value of this outcome. */
        String headerValue() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /** Returns the outcome for a header value, or {@link #UNKNOWN} if there is none. */
        static Outcome of(@Nullable String headerValue) {
            for (Outcome outcome : values()) {
                if (outcome.headerValue().equals(headerValue)) {
                    return outcome;
                }
            }
            return UNKNOWN;
        }
    }

    static OwnerResult ran(Answer answer, @Nullable ServerLoad load) {
        return new OwnerResult(Outcome.RAN, "", answer, load, null);
    }

    static OwnerResult declined(String reason, ServerLoad load) {
        return new OwnerResult(Outcome.DECLINED, reason, null, load, null);
    }

    static OwnerResult notRun(String reason, @Nullable ServerLoad load) {
        return new OwnerResult(Outcome.NOT_RUN, reason, null, load, null);
    }

    static OwnerResult unknown(String reason, @Nullable ServerLoad load) {
        return new OwnerResult(Outcome.UNKNOWN, reason, null, load, null);
    }

    /** Returns this result with what is known of crashes at which the request was in flight. */
    OwnerResult with(@Nullable Suspect known) {
        return new OwnerResult(outcome, reason, answer, load, known);
    }
}
