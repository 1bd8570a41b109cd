package dev.zinniaring.calls;

/** Kind of failure of a request that {@link PooledHttpClient} was asked to send. */
public enum SendFailure {
    /** No byte of the request was sent, so the receiver cannot have seen it. */
    NOT_SENT,
    /** The connection broke, or the answer was malformed or incomplete. */
    BROKEN,
    /** No complete answer arrived within the timeout. */
    TIMED_OUT
}
