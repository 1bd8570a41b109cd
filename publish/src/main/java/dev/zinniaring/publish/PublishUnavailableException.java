package dev.zinniaring.publish;

/**
 * Signals that the platform could not be reached or rejected the request temporarily. Nothing was
 * changed.
 */
public final class PublishUnavailableException extends PublishException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public PublishUnavailableException(String message) {
        super(message);
    }

    /** Creates the exception with its cause. */
    public PublishUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
