package dev.zinniaring.store;

/** A request to the platform failed. The subclasses tell what the caller may conclude. */
public class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    protected PlatformException(String message) {
        super(message);
    }

    protected PlatformException(String message, Throwable cause) {
        super(message, cause);
    }
}
