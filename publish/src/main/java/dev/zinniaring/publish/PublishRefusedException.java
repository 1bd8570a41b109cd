package dev.zinniaring.publish;

/** The request cannot be carried out as it stands; nothing was changed. */
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
