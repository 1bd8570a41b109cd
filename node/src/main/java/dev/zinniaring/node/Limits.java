package dev.zinniaring.node;

/**
 * Limits of the call path.
 *
 * @param maxBodyBytes maximum size of a request body
 * @param maxHeaderBytes maximum size of a request head: the request line and all headers
 * @param maxHeaders maximum number of header fields in one request
 * @param maxConnections maximum number of open connections of each call listener
 * @param maxConcurrentCalls maximum number of concurrent calls of each call listener; calls above
 *     it are shed
 * @param idleMillis time after which an idle connection is closed, in milliseconds
 * @param minBodyBytesPerSecond minimum average rate at which a request body must arrive
 * @param connectMillis time-out for connecting to a node or backend server, in milliseconds
 * @param drainMillis maximum time that calls in flight get to finish at shutdown, in milliseconds
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
    /** Limits of a node whose settings contain none. */
    public static final Limits DEFAULT =
            new Limits(16 << 20, 16 << 10, 100, 4_096, 512, 60_000, 256, 500, 30_000);
}
