package dev.zinniaring.publish;

/**
 * Signals that another change was accepted first. This change was not accepted and never will be.
 */
public final class PublishConflictException extends PublishException {
    private static final long serialVersionUID = 1L;

    private final long winner;

    /**
     * Creates the exception.
     *
     * @param expected number of the version on which the change was based
     * @param winner number of the latest accepted version
     */
    public PublishConflictException(long expected, long winner) {
        super(
                "the change was based on version "
                        + expected
                        + ", but version "
                        + winner
                        + " has been accepted");
        this.winner = winner;
    }

    /** Returns the number of the latest version, which was accepted instead of this change. */
    public long winner() {
        return winner;
    }
}
