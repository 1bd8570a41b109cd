package dev.zinniaring.bench;

/** Thrown when an experiment cannot be completed. */
public final class ExperimentException extends Exception {
    private static final long serialVersionUID = 1L;

    public ExperimentException(String message) {
        super(message);
    }

    public ExperimentException(String message, Throwable cause) {
        super(message, cause);
    }
}
