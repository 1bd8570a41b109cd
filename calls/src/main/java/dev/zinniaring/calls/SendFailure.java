package dev.zinniaring.calls;

/** Why a request that this process sent has no answer. */
public enum SendFailure {
    /** No byte of it left this process, so that it cannot have been received. */
    NOT_SENT,
    /** The connection broke, or the answer could not be read. */
    BROKEN,
    /** The time for it ran out. */
    TIMED_OUT
}
