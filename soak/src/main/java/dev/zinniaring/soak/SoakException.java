package dev.zinniaring.soak;

/** Thrown when a run could not be carried out, so that it says nothing about the invariants. */
final class SoakException extends Exception {
    private static final long serialVersionUID = 1L;

    SoakException(String message) {
        super(message);
    }

    SoakException(String message, Throwable cause) {
        super(message, cause);
    }
}
