package dev.zinniaring.transport;

/** Thrown if the transport cannot start or received bytes are malformed. */
public class TransportException extends Exception {
    private static final long serialVersionUID = 1L;

    public TransportException(String message) {
        super(message);
    }

    public TransportException(String message, Throwable cause) {
        super(message, cause);
    }
}
