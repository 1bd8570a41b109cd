package dev.zinniaring.calls;

/**
 * Receives the result of a request. Exactly one of {@link #onResponse} and {@link #onFailure} is
 * called, once, unless the request is cancelled.
 */
public interface ResponseListener {
    /** Called when the complete answer has been received. */
    void onResponse(Answer answer);

    /**
     * Called when the request failed.
     *
     * @param reason reason code, such as {@code connection-closed}
     */
    void onFailure(SendFailure failure, String reason);

    /**
     * Called when the request is about to be sent on a connection.
     *
     * @param connection number of the connection
     * @param requests requests that it has carried, this one included
     * @param idCarried whether an earlier one had the same id
     */
    default void onSend(long connection, int requests, boolean idCarried) {}

    /** Called for each answer that is dropped while the request waits. */
    default void onDropped(DroppedAnswer answer) {}
}
