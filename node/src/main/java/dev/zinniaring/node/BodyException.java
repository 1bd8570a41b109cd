package dev.zinniaring.node;

import java.io.IOException;

/** The body of a caller's request could not be read whole. */
final class BodyException extends IOException {
    private static final long serialVersionUID = 1L;

    private final int status;

    BodyException(int status, String message) {
        super(message);
        this.status = status;
    }

    BodyException(IOException cause) {
        super("the request body broke off: " + cause.getMessage(), cause);
        this.status = 400;
    }

    /** Returns the status for the caller. */
    int status() {
        return status;
    }
}
