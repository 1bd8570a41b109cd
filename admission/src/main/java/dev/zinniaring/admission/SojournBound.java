package dev.zinniaring.admission;

import java.util.Arrays;

/**
 * Limits how long a call may wait in the queue of its rank. A queue that empties from time to time
 * may use the whole bound. A queue that has not been empty for that long is a standing queue, which
 * only adds latency, and is limited to a fifth of the bound. Not thread-safe.
 */
final class SojournBound {
    private static final int STANDING_QUEUE_DIVISOR = 5;

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
     * Returns the longest time that a call of the rank may wait.
     *
     * @param minNanos lower limit for a standing queue, without which the rank would not be served
     *     at all
     */
    long maxWaitNanos(int rank, long minNanos, long nowNanos) {
        boolean standing = nowNanos - lastEmptyNanos[rank] > maxQueueNanos;
        if (!standing) {
            return maxQueueNanos;
        }
        return Math.min(maxQueueNanos, Math.max(minNanos, maxQueueNanos / STANDING_QUEUE_DIVISOR));
    }
}
