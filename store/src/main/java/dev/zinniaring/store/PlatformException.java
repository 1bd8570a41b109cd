package dev.zinniaring.store;

/**
 * A request to the platform failed. The subclass tells whether the request may have taken effect
 * and whether a retry can help.
 */
public class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    protected PlatformException(String message) {
        super(message);
    }

    protected PlatformException(String message, Throwable cause) {
        super(message, cause);
    }
}
