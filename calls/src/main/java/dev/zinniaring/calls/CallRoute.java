package dev.zinniaring.calls;

import dev.zinniaring.model.Route;

/**
 * A route compiled for the handling of calls.
 *
 * @param route route as declared
 * @param rankOrder order of the route's rank, 0 for the most urgent
 * @param serviceSelector selects the service of each call
 * @param keyless whether calls need no key of a client account
 */
public record CallRoute(
        Route route, int rankOrder, WeightedRoundRobin serviceSelector, boolean keyless) {
    /** Creates a route whose calls need a key if client accounts are declared. */
    public CallRoute(Route route, int rankOrder, WeightedRoundRobin serviceSelector) {
        this(route, rankOrder, serviceSelector, false);
    }

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
