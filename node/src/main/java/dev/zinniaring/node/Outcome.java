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

    private final String word;

    Outcome(String word) {
        this.word = word;
    }

    /** Returns the value of the {@code Zinniaring-Outcome} header. */
    String word() {
        return word;
    }

    /** Returns the outcome for a header value; {@link #UNKNOWN} for missing or other values. */
    static Outcome of(@Nullable String word) {
        for (Outcome outcome : values()) {
            if (outcome.word.equals(word)) {
                return outcome;
            }
        }
        return UNKNOWN;
    }
}
