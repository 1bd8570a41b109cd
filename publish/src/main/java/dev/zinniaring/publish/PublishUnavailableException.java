package dev.zinniaring.publish;

/** The platform could not be reached or refused to work; nothing was changed. */
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
