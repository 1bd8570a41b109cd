package dev.zinniaring.node;

import org.jspecify.annotations.Nullable;

/** What a caller is told about whether its call ran. */
enum Outcome {
    /** The backend server answered. */
    RAN("ran"),
    /** It is proved that the call did not run. */
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

    /** Returns the outcome of a header value; whatever is not understood counts as unknown. */
    static Outcome of(@Nullable String word) {
        for (Outcome outcome : values()) {
            if (outcome.word.equals(word)) {
                return outcome;
            }
        }
        return UNKNOWN;
    }
}
