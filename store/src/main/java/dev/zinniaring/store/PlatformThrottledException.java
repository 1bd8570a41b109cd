package dev.zinniaring.store;

/** The platform rejected the request because of its rate limit; the request had no effect. */
public final class PlatformThrottledException extends PlatformException {
    private static final long serialVersionUID = 1L;

    public PlatformThrottledException(String message) {
        super(message);
    }

    public PlatformThrottledException(String message, Throwable cause) {
        super(message, cause);
    }
}
