package dev.zinniaring.publish;

/**
 * Signals that the change may or may not have been accepted. {@link Publisher#resolve} determines
 * the outcome once the platform answers.
 */
public final class PublishOutcomeUnknownException extends PublishException {
    private static final long serialVersionUID = 1L;

    private final String token;

    /**
     * Creates the exception.
     *
     * @param token identifies the publication
     * @param cause why the outcome could not be determined
     */
    public PublishOutcomeUnknownException(String token, Throwable cause) {
        super(
                "the platform's answer was lost; the change may have been accepted, resolve token "
                        + token,
                cause);
        this.token = token;
    }

    /** Returns the token to resolve. */
    public String token() {
        return token;
    }
}
