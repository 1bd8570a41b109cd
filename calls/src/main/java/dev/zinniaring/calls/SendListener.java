package dev.zinniaring.calls;

/** Receives the result of a request. Exactly one method is called, once, unless cancelled. */
public interface SendListener {
    /** Called when the complete answer has been received. */
    void answered(Answer answer);

    /**
     * Called when the request failed.
     *
     * @param reason reason code, such as {@code connection-closed}
     */
    void failed(SendFailure failure, String reason);
}
