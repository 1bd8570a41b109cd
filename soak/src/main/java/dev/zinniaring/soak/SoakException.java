package dev.zinniaring.soak;

/** Thrown when a run could not be played, so that nothing was proved. */
final class SoakException extends Exception {
    private static final long serialVersionUID = 1L;

    SoakException(String message) {
        super(message);
    }

    SoakException(String message, Throwable cause) {
        super(message, cause);
    }
}
