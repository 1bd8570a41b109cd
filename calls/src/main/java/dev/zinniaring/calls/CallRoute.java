package dev.zinniaring.calls;

import dev.zinniaring.model.Route;

/**
 * A route as calls use it.
 *
 * @param route the declaration
 * @param rankOrder urgency, 0 for the most urgent
 * @param services chooses the service of each call
 */
public record CallRoute(Route route, int rankOrder, WeightedTurns services) {
    /** Returns the time within which an answer has its full worth, in milliseconds. */
    public int targetMillis() {
        return route.targetMillis() > 0 ? route.targetMillis() : route.deadlineMillis();
    }

    /** Returns how many backend servers one call may be sent to. */
    public int maxAttempts() {
        return route.maxRetries() + 1;
    }
}
