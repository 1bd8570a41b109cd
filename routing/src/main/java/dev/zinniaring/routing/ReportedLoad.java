package dev.zinniaring.routing;

/**
 * The load that a backend server's node reported with an answer.
 *
 * @param outstanding calls running or queued there
 * @param limit calls that it runs at once, at least 1
 */
public record ReportedLoad(int outstanding, int limit) {
    /**
     * Checks the numbers.
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
