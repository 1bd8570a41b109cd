package dev.zinniaring.publish;

/**
 * Signals that data on the platform cannot be decoded or does not match its hash. Nothing was
 * changed.
 */
public final class PublishCorruptException extends PublishException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public PublishCorruptException(String message) {
        super(message);
    }

    /** Creates the exception with its cause. */
    public PublishCorruptException(String message, Throwable cause) {
        super(message, cause);
    }
}
