package dev.zinniaring.publish;

/** Signals that the request cannot be carried out in its present form. Nothing was changed. */
public final class PublishRefusedException extends PublishException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public PublishRefusedException(String message) {
        super(message);
    }

    /** Creates the exception with its cause. */
    public PublishRefusedException(String message, Throwable cause) {
        super(message, cause);
    }
}
