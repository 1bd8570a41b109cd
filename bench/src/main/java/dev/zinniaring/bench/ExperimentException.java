package dev.zinniaring.bench;

/** An experiment could not be carried out. */
public final class ExperimentException extends Exception {
    private static final long serialVersionUID = 1L;

    public ExperimentException(String message) {
        super(message);
    }

    public ExperimentException(String message, Throwable cause) {
        super(message, cause);
    }
}
