package dev.zinniaring.kernel;

/** A process could not start or stop one of its subsystems. */
public class KernelException extends Exception {
    private static final long serialVersionUID = 1L;

    public KernelException(String message) {
        super(message);
    }

    public KernelException(String message, Throwable cause) {
        super(message, cause);
    }
}
