package dev.zinniaring.store;

/** The response to a write was lost; the write may have taken effect or may still do so. */
public final class PlatformOutcomeUnknownException extends PlatformException {
    private static final long serialVersionUID = 1L;

    public PlatformOutcomeUnknownException(String message) {
        super(message);
    }

    public PlatformOutcomeUnknownException(String message, Throwable cause) {
        super(message, cause);
    }
}
