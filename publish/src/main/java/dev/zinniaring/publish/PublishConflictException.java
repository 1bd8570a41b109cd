package dev.zinniaring.publish;

/** Another change was accepted first; this one was not and never will be. */
public final class PublishConflictException extends PublishException {
    private static final long serialVersionUID = 1L;

    private final long winner;

    /**
     * Creates the exception.
     *
     * @param expected the number on which the change was based
     * @param winner the number that stands there instead
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

    /** Returns the latest number accepted instead of this change. */
    public long winner() {
        return winner;
    }
}
