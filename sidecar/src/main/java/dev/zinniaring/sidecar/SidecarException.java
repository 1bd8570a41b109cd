package dev.zinniaring.sidecar;

/** Something that reached the process could not be used. */
public final class SidecarException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public SidecarException(String message) {
        super(message);
    }

    /** Creates the exception with its cause. */
    public SidecarException(String message, Throwable cause) {
        super(message, cause);
    }
}
