package dev.zinniaring.calls;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * An outbound HTTP request.
 *
 * @param method HTTP method
 * @param target path and query
 * @param headers headers, to which {@link PooledHttpClient} adds Content-Length, and Host if it is
 *     absent
 * @param body complete body
 * @param timeoutMillis timeout for the complete answer, in milliseconds
 * @param connectMillis connect timeout, in milliseconds
 * @param maxIdleMillis longest idle time after which a pooled connection is reused, in
 *     milliseconds; 0 requests a new connection
 * @param echo name of a header that the answer must echo; empty if none
 */
public record OutboundRequest(
        String method,
        String target,
        HttpHeaders headers,
        byte[] body,
        long timeoutMillis,
        int connectMillis,
        int maxIdleMillis,
        String echo) {}
