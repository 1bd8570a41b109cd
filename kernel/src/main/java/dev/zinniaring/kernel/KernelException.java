package dev.zinniaring.kernel;

/** Thrown if a subsystem cannot start, or if settings or other input are unusable. */
public class KernelException extends Exception {
    private static final long serialVersionUID = 1L;

    public KernelException(String message) {
        super(message);
    }

    public KernelException(String message, Throwable cause) {
        super(message, cause);
    }
}
