package dev.zinniaring.admission;

import java.util.Optional;

/**
 * The stored state of an idempotency key.
 *
 * @param state state of the key
 * @param run number of the run that begins, in state {@link State#NEW}, to be passed back when the
 *     run ends; otherwise 0
 * @param answer the answer of the earlier run, present only in state {@link State#DONE} and if it
 *     was small enough to be stored
 */
public record KeyAnswer(State state, long run, Optional<StoredAnswer> answer) {
    /** States of a key. */
    public enum State {
        /** The key is new; the call has to run now and its end must be reported. */
        NEW,
        /** A call with the key is running. */
        RUNNING,
        /** A call with the key has run. */
        DONE,
        /** A call with the key may have run: how it ended is unknown, or its record may be lost. */
        UNKNOWN,
        /** The key was used for a different request, which is an error of the caller. */
        MISMATCH,
        /** There is no room for another key; the call must not run. */
        FULL
    }

    static KeyAnswer of(State state) {
        return new KeyAnswer(state, 0, Optional.empty());
    }
}
