package dev.zinniaring.node;

import org.jspecify.annotations.Nullable;

/** Whether a call ran, as reported to its caller. */
enum Outcome {
    /** The backend server answered. */
    RAN("ran"),
    /** The call certainly did not run. */
    NOT_RUN("not-run"),
    /** The call may have run. */
    UNKNOWN("unknown");

    private final String headerValue;

    Outcome(String headerValue) {
        this.headerValue = headerValue;
    }

    /** Returns the value of the {@code Zinniaring-Outcome} header. */
    String headerValue() {
        return headerValue;
    }

    /** Returns the outcome for a header value; {@link #UNKNOWN} for missing or other values. */
    static Outcome of(@Nullable String headerValue) {
        for (Outcome outcome : values()) {
            if (outcome.headerValue.equals(headerValue)) {
                return outcome;
            }
        }
        return UNKNOWN;
    }
}
