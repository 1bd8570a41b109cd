package dev.zinniaring.calls;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A request that this process sends.
 *
 * @param method HTTP method
 * @param target path and query
 * @param headers headers, without those of the connection
 * @param body the whole body
 * @param timeoutMillis longest time until the whole answer, in milliseconds
 * @param connectMillis longest time that a new connection may take, in milliseconds
 * @param maxIdleMillis longest time for which a kept connection may have been idle, in
 *     milliseconds; 0 asks for a new connection
 * @param echo name of a header that the answer must repeat; empty if none
 */
public record Outbound(
        String method,
        String target,
        HttpHeaders headers,
        byte[] body,
        long timeoutMillis,
        int connectMillis,
        int maxIdleMillis,
        String echo) {}
