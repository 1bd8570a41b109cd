package dev.zinniaring.admission;

import java.util.Optional;

/**
 * What the memory knows of an idempotency key.
 *
 * @param state state of the key
 * @param run names the run that began, in state {@link State#NEW}, and is passed back when it ends;
 *     otherwise 0
 * @param answer the answer of the earlier run, present only in state {@link State#DONE} and if it
 *     was small enough to keep
 */
public record KeyAnswer(State state, long run, Optional<StoredAnswer> answer) {
    /** States of a key. */
    public enum State {
        /** The key was not seen; the call runs now and its end must be reported. */
        NEW,
        /** A call with the key is running. */
        RUNNING,
        /** A call with the key has run. */
        DONE,
        /** A call with the key may have run: it ended unknown, or its record may be lost. */
        UNKNOWN,
        /** The key was used for another request, which is an error of the caller. */
        MISMATCH,
        /** There is no room to remember another key; the call must not run. */
        FULL
    }

    static KeyAnswer of(State state) {
        return new KeyAnswer(state, 0, Optional.empty());
    }
}
