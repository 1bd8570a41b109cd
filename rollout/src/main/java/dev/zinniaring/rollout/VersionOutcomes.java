package dev.zinniaring.rollout;

/**
 * Calls of one route at the servers of the new version and at the others, in the same time.
 *
 * @param targetCalls calls that ran at the new version
 * @param targetBad those of them that failed or were far too slow
 * @param otherCalls calls that ran at other versions
 * @param otherBad those of them that failed or were far too slow
 */
public record VersionOutcomes(int targetCalls, int targetBad, int otherCalls, int otherBad) {
    /** No calls. */
    public static final VersionOutcomes NONE = new VersionOutcomes(0, 0, 0, 0);

    /** Returns the sum of two. */
    public VersionOutcomes plus(VersionOutcomes more) {
        return new VersionOutcomes(
                targetCalls + more.targetCalls,
                targetBad + more.targetBad,
                otherCalls + more.otherCalls,
                otherBad + more.otherBad);
    }
}
