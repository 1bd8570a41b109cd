package dev.zinniaring.calls;

import java.util.HashMap;
import java.util.Map;

/**
 * Longest wait for a server that the calls of accounts accept, the same for all routes. It answers
 * demand above what a server can do, by routes with different targets: if each route waited as long
 * as its own target allows, the queue would settle at the most patient one, and the routes with the
 * shortest targets, often the most urgent, would be refused almost alone.
 */
final class WaitLimits {
    /** Time after which a route no longer counts that has not been called. */
    private static final long RETENTION_NANOS = 1_000_000_000L;

    /** Lower bound of the limit, for a route that hardly ever meets its target. */
    private static final long MIN_WAIT_NANOS = 50_000_000L;

    private final Map<String, RouteWait> byRoute = new HashMap<>();

    private record RouteWait(long waitNanos, long seenNanos) {}

    /**
     * Records a call.
     *
     * @param waitNanos longest wait with which a call of the route meets its target
     */
    void seen(String route, long waitNanos, long nowNanos) {
        byRoute.put(route, new RouteWait(waitNanos, nowNanos));
    }

    /** Returns the longest wait that all routes accept that were called lately. */
    long strictestNanos(long nowNanos) {
        byRoute.values().removeIf(route -> nowNanos - route.seenNanos() > RETENTION_NANOS);
        long strictest = Long.MAX_VALUE;
        for (RouteWait route : byRoute.values()) {
            strictest = Math.min(strictest, route.waitNanos());
        }
        return Math.max(MIN_WAIT_NANOS, strictest);
    }
}
