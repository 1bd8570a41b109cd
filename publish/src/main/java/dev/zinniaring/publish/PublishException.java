package dev.zinniaring.publish;

/**
 * Signals that a change or a read of the published versions failed. The subclasses tell what the
 * caller may conclude.
 */
public class PublishException extends Exception {
    private static final long serialVersionUID = 1L;

    protected PublishException(String message) {
        super(message);
    }

    protected PublishException(String message, Throwable cause) {
        super(message, cause);
    }
}
