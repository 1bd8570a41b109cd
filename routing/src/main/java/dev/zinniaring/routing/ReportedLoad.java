package dev.zinniaring.routing;

/**
 * The load of a backend server, as reported by its node with an answer.
 *
 * @param outstanding calls running or queued at the server
 * @param limit calls that the server runs at once, at least 1
 */
public record ReportedLoad(int outstanding, int limit) {
    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if {@code outstanding} is negative or {@code limit} below 1
     */
    public ReportedLoad {
        if (outstanding < 0) {
            throw new IllegalArgumentException(
                    "outstanding must not be negative, was " + outstanding);
        }
        if (limit < 1) {
            throw new IllegalArgumentException("limit must be at least 1, was " + limit);
        }
    }
}
