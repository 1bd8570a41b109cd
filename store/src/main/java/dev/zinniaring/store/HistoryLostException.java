package dev.zinniaring.store;

/** The changes after a revision are not known any more; the table has to be listed again. */
public final class HistoryLostException extends PlatformException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public HistoryLostException(String message) {
        super(message);
    }
}
