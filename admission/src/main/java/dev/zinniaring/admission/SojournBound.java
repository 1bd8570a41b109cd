package dev.zinniaring.admission;

import java.util.Arrays;

/**
 * Bounds how long a call may wait. A queue that empties now and then may use the whole bound; one
 * that has not been empty for that long only adds latency, and is held to a fifth. Not safe for use
 * by several threads.
 */
final class SojournBound {
    private static final int STANDING_DIVISOR = 5;

    private final long maxQueueNanos;
    private final long[] lastEmptyNanos;

    SojournBound(int ranks, long maxQueueNanos, long nowNanos) {
        this.maxQueueNanos = maxQueueNanos;
        this.lastEmptyNanos = new long[ranks];
        Arrays.fill(lastEmptyNanos, nowNanos);
    }

    void update(RankQueue queue, long nowNanos) {
        for (int rank = 0; rank < lastEmptyNanos.length; rank++) {
            if (queue.size(rank) == 0) {
                lastEmptyNanos[rank] = nowNanos;
            }
        }
    }

    /**
     * Returns the bound of a rank.
     *
     * @param leastNanos time that must be allowed for the rank to be served at all
     */
    long nanos(int rank, long leastNanos, long nowNanos) {
        boolean standing = nowNanos - lastEmptyNanos[rank] > maxQueueNanos;
        if (!standing) {
            return maxQueueNanos;
        }
        return Math.min(maxQueueNanos, Math.max(leastNanos, maxQueueNanos / STANDING_DIVISOR));
    }
}
