package dev.zinniaring.calls;

/**
 * What a client may send and how long it may take.
 *
 * @param maxHeaderBytes longest head of a request, in bytes
 * @param maxBodyBytes longest body of a request, in bytes
 * @param headerTimeoutMillis longest time that the head of a request may take, in milliseconds
 * @param idleTimeoutMillis time after which an idle connection is closed, in milliseconds
 */
public record ClientLimits(
        int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {
    /** Limits that hold until a configuration is known. */
    public static final ClientLimits DEFAULT =
            new ClientLimits(16 * 1024, 16 * 1024 * 1024, 5_000, 30_000);

    /** Room for the headers that nodes add to a request, in bytes. */
    private static final int HOP_HEADER_BYTES = 4 * 1024;

    /** Returns the limits of requests that another node passes on. */
    public ClientLimits forPeers() {
        return new ClientLimits(
                (int) Math.min(Integer.MAX_VALUE, (long) maxHeaderBytes + HOP_HEADER_BYTES),
                maxBodyBytes,
                headerTimeoutMillis,
                idleTimeoutMillis);
    }
}
