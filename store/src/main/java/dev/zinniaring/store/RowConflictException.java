package dev.zinniaring.store;

/** A row did not have the expected revision; nothing was written. */
public final class RowConflictException extends PlatformException {
    private static final long serialVersionUID = 1L;

    private final long revision;

    /**
     * Creates the exception.
     *
     * @param revision the current revision of the row, 0 if it does not exist
     */
    public RowConflictException(String message, long revision) {
        super(message);
        this.revision = revision;
    }

    /** Returns the current revision of the row, 0 if it does not exist. */
    public long revision() {
        return revision;
    }
}
