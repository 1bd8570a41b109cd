package dev.zinniaring.node;

/** Thrown if a request to a node or backend server got no valid response. */
final class HopException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The cause of the failure, which tells whether the request may have run. */
    enum Kind {
        /** No byte of the request was sent, so it did not run. */
        NOT_SENT,
        /** The connection broke, or the response was malformed. */
        BROKEN,
        /** The response may belong to another call. */
        FOREIGN,
        /** The deadline passed. */
        TIMED_OUT,
        /** The caller disconnected. */
        CANCELLED,
        /** The body of the caller's request was truncated, too large or too slow. */
        BAD_BODY
    }

    private final Kind kind;

    HopException(Kind kind, Throwable cause) {
        super(kind + ": " + cause, cause);
        this.kind = kind;
    }

    Kind kind() {
        return kind;
    }
}
