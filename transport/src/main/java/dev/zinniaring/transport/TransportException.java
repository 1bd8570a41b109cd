package dev.zinniaring.transport;

/** The transport could not start, or a message could not be sent or read. */
public class TransportException extends Exception {
    private static final long serialVersionUID = 1L;

    public TransportException(String message) {
        super(message);
    }

    public TransportException(String message, Throwable cause) {
        super(message, cause);
    }
}
