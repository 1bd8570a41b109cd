package dev.zinniaring.store;

/**
 * Observes every attempt of every request to the platform. Called by several threads concurrently.
 */
public interface RequestObserver {
    /** Ignores all requests. */
    RequestObserver NONE = (kind, sentBytes, receivedBytes) -> {};

    /**
     * Called when one attempt of a request has ended, whatever its outcome.
     *
     * @param kind the kind of request
     * @param sentBytes size of the request's headers and body, 0 for an in-memory platform
     * @param receivedBytes size of the response's headers and body, 0 for an in-memory platform
     */
    void requested(RequestKind kind, long sentBytes, long receivedBytes);
}
