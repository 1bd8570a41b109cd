package dev.zinniaring.store;

/** Is told of each request to the platform, including repeats. Called by several threads. */
public interface RequestObserver {
    /** Ignores everything. */
    RequestObserver NONE = (kind, sentBytes, receivedBytes) -> {};

    /**
     * One request has ended, whatever its outcome.
     *
     * @param kind what was asked for
     * @param sentBytes bytes of the request's headers and body, 0 within one process
     * @param receivedBytes bytes of the answer's headers and body, 0 within one process
     */
    void requested(RequestKind kind, long sentBytes, long receivedBytes);
}
