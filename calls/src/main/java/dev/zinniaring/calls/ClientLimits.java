package dev.zinniaring.calls;

/**
 * Size limits and timeouts for requests from clients.
 *
 * @param maxHeaderBytes maximum size of a request head, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMillis maximum time for receiving a request head, in milliseconds
 * @param idleTimeoutMillis time after which an idle connection is closed, in milliseconds
 */
public record ClientLimits(
        int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {
    /** Limits that apply until a configuration has been received. */
    public static final ClientLimits DEFAULT =
            new ClientLimits(16 * 1024, 16 * 1024 * 1024, 5_000, 30_000);

    /** Additional space for the headers that nodes add to a request, in bytes. */
    private static final int NODE_HEADER_BYTES = 4 * 1024;

    /** Returns the limits for requests that other nodes forward, which carry extra headers. */
    public ClientLimits forPeers() {
        return new ClientLimits(
                (int) Math.min(Integer.MAX_VALUE, (long) maxHeaderBytes + NODE_HEADER_BYTES),
                maxBodyBytes,
                headerTimeoutMillis,
                idleTimeoutMillis);
    }
}
