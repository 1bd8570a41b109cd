package dev.zinniaring.calls;

/** Receives the result of a request. Exactly one method is called, once, unless cancelled. */
public interface ResponseListener {
    /** Called when the complete answer has been received. */
    void onResponse(Answer answer);

    /**
     * Called when the request failed.
     *
     * @param reason reason code, such as {@code connection-closed}
     */
    void onFailure(SendFailure failure, String reason);
}
