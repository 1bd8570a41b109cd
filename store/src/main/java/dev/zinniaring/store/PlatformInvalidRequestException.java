package dev.zinniaring.store;

/**
 * The platform rejected the request as malformed or too large; the request had no effect and a
 * retry does not help.
 */
public final class PlatformInvalidRequestException extends PlatformException {
    private static final long serialVersionUID = 1L;

    public PlatformInvalidRequestException(String message) {
        super(message);
    }

    public PlatformInvalidRequestException(String message, Throwable cause) {
        super(message, cause);
    }
}
