package dev.zinniaring.node;

/** A request to a node or backend server that brought no whole answer. */
final class HopException extends Exception {
    private static final long serialVersionUID = 1L;

    /** How far the request came. */
    enum Kind {
        /** No byte of the request was sent, so that it did not run. */
        NOT_SENT,
        /** The connection broke, or the answer was malformed. */
        BROKEN,
        /** The deadline passed. */
        TIMED_OUT,
        /** The caller's connection went away. */
        CANCELLED,
        /** The caller's body was broken, too large or too slow. */
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
