package dev.zinniaring.node;

import org.jspecify.annotations.Nullable;

/**
 * What is known of a call while a node carries it.
 *
 * @param exchange the request and its answer
 * @param body the request's body
 * @param callId id of the call
 * @param route name of the route, part of the request's fingerprint
 * @param rank name of the rank
 * @param rankOrder order of the rank, 0 for the most urgent
 * @param depth mesh hops made, this one included
 * @param attempt attempt number that the call came with, from 1
 * @param deadlineNanos reading of the clock at which the caller gives up
 * @param key the caller's idempotency key
 */
record CallContext(
        Exchange exchange,
        CallBody body,
        String callId,
        String route,
        String rank,
        int rankOrder,
        int depth,
        int attempt,
        long deadlineNanos,
        @Nullable String key) {

    /** Returns the same call with the number of a later attempt. */
    CallContext withAttempt(int number) {
        return new CallContext(
                exchange, body, callId, route, rank, rankOrder, depth, number, deadlineNanos, key);
    }
}
