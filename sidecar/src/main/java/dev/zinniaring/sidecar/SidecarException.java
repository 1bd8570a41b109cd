package dev.zinniaring.sidecar;

/** Thrown if data received by the sidecar cannot be decoded. */
public final class SidecarException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message. */
    public SidecarException(String message) {
        super(message);
    }

    /** Creates an exception with a message and a cause. */
    public SidecarException(String message, Throwable cause) {
        super(message, cause);
    }
}
