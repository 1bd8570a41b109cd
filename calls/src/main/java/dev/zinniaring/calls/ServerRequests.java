package dev.zinniaring.calls;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Builds the requests that a node sends to the backend server on its VM. */
final class ServerRequests {
    /**
     * Extra time after the deadline for the answer of the backend server, which ends a call by
     * itself at the deadline.
     */
    private static final long DEADLINE_GRACE_MILLIS = 100;

    /** Connect timeout for a process on the same VM. */
    private static final int CONNECT_MILLIS = 250;

    /**
     * Longest idle time after which a GET reuses a connection; after that, the server may have
     * closed it.
     */
    private static final int MAX_IDLE_MILLIS = 5_000;

    /** Like {@link #MAX_IDLE_MILLIS}, for other requests, which may not be safe to retry. */
    private static final int MAX_IDLE_NON_GET_MILLIS = 1_000;

    private ServerRequests() {}

    /**
     * Returns the request of a call.
     *
     * @param leftNanos time to the call's deadline
     */
    static OutboundRequest of(OwnerJob job, LocalServer server, long leftNanos, HeaderNames names) {
        Exchange exchange = job.exchange();
        HttpHeaders headers = HopHeaders.withKnownNames();
        HopHeaders.copyEndToEnd(exchange.headers(), headers);
        long leftMillis = Math.max(1, leftNanos / 1_000_000L);
        headers.set(names.deadlineMillis(), leftMillis);
        headers.set(names.expectedServer(), server.serverId());
        headers.set(HttpHeaderNames.CONNECTION, "keep-alive");
        return new OutboundRequest(
                exchange.method(),
                exchange.target(),
                headers,
                exchange.body(),
                leftMillis + DEADLINE_GRACE_MILLIS,
                CONNECT_MILLIS,
                maxIdleMillis(job),
                names.callId());
    }

    /** Returns 0, for a new connection, if the answer cannot be matched by the id of the call. */
    private static int maxIdleMillis(OwnerJob job) {
        if (job.callId().isEmpty()) {
            return 0;
        }
        return job.exchange().method().equals("GET") ? MAX_IDLE_MILLIS : MAX_IDLE_NON_GET_MILLIS;
    }
}
