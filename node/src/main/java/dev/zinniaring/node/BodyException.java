package dev.zinniaring.node;

import java.io.IOException;

/** Thrown if the body of a caller's request cannot be read to its end. */
final class BodyException extends IOException {
    private static final long serialVersionUID = 1L;

    private final int status;

    BodyException(int status, String message) {
        super(message);
        this.status = status;
    }

    BodyException(IOException cause) {
        super("failed to read the request body: " + cause.getMessage(), cause);
        this.status = 400;
    }

    /** Returns the HTTP status for the caller. */
    int status() {
        return status;
    }
}
