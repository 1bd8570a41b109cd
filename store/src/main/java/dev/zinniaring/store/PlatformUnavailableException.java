package dev.zinniaring.store;

/** The platform could not be reached or was out of service; the request had no effect. */
public final class PlatformUnavailableException extends PlatformException {
    private static final long serialVersionUID = 1L;

    public PlatformUnavailableException(String message) {
        super(message);
    }

    public PlatformUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
