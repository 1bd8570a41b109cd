package dev.zinniaring.publish;

/**
 * Signals that another change was accepted first. This change was not accepted and never will be.
 */
public final class PublishConflictException extends PublishException {
    private static final long serialVersionUID = 1L;

    private final long latestNumber;

    /**
     * Creates the exception.
     *
     * @param expected number of the version on which the change was based
     * @param latestNumber number of the latest accepted version
     */
    public PublishConflictException(long expected, long latestNumber) {
        super(
                "the change was based on version "
                        + expected
                        + ", but version "
                        + latestNumber
                        + " has been accepted");
        this.latestNumber = latestNumber;
    }

    /** Returns the number of the latest version, which was accepted instead of this change. */
    public long latestNumber() {
        return latestNumber;
    }
}
