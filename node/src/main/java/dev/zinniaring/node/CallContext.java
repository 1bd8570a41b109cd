package dev.zinniaring.node;

import org.jspecify.annotations.Nullable;

/**
 * The data of a call while a node processes it.
 *
 * @param exchange the request and its response
 * @param body the request's body
 * @param callId id of the call
 * @param route name of the route, part of the request's fingerprint
 * @param rank name of the rank
 * @param rankOrder order of the rank, 0 for the most urgent
 * @param depth number of mesh hops so far, including this one
 * @param attempt attempt number, from 1
 * @param deadlineNanos clock reading at the deadline of the call
 * @param key the caller's idempotency key, or null
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
