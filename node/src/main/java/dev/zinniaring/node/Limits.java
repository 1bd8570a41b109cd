package dev.zinniaring.node;

/**
 * Bounds of the call path.
 *
 * @param maxBodyBytes largest request body of a caller
 * @param maxHeaderBytes largest request head, with request line and all headers
 * @param maxHeaders most header fields in one request
 * @param maxConnections connections accepted at once by each call listener
 * @param maxConcurrentCalls calls carried at once by each call listener; more are shed
 * @param idleMillis time after which a silent connection is closed, in milliseconds
 * @param minBodyBytesPerSecond slowest average at which a request body may arrive
 * @param connectMillis longest time to connect to a node or backend server, in milliseconds
 * @param drainMillis longest time that calls in flight have at shutdown, in milliseconds
 */
public record Limits(
        int maxBodyBytes,
        int maxHeaderBytes,
        int maxHeaders,
        int maxConnections,
        int maxConcurrentCalls,
        int idleMillis,
        int minBodyBytesPerSecond,
        int connectMillis,
        int drainMillis) {
    /** Limits of a node whose settings name none. */
    public static final Limits DEFAULT =
            new Limits(16 << 20, 16 << 10, 100, 4_096, 512, 60_000, 256, 500, 30_000);
}
