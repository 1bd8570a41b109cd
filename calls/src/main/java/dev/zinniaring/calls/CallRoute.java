package dev.zinniaring.calls;

import dev.zinniaring.model.Route;

/**
 * A route compiled for the handling of calls.
 *
 * @param route route as declared
 * @param rankOrder order of the route's rank, 0 for the most urgent
 * @param services selects the service of each call
 */
public record CallRoute(Route route, int rankOrder, WeightedRoundRobin serviceSelector) {
    /**
     * Returns the latency target, up to which an answer has full value, in milliseconds; the
     * deadline if the route declares no target.
     */
    public int targetMillis() {
        return route.targetMillis() > 0 ? route.targetMillis() : route.deadlineMillis();
    }

    /** Returns the maximum number of attempts for one call, the first included. */
    public int maxAttempts() {
        return route.maxRetries() + 1;
    }
}
