package dev.zinniaring.admission;

/**
 * Keeps each rank's floor: of the slot time that the backend server delivers, a rank with queued
 * calls is credited its share, and is charged what its calls use. A rank with credit goes before
 * more urgent ones. Not safe for use by several threads.
 */
final class FloorCredit {
    /** Credit that a waiting rank can build up, and debt that it can run into, in calls. */
    private static final double MAX_CALLS = 2;

    private final RankTable ranks;
    private final ServiceTimes times;
    private final double[] creditNanos;
    private final long[] seenNanos;

    FloorCredit(RankTable ranks, ServiceTimes times) {
        this.ranks = ranks;
        this.times = times;
        this.creditNanos = new double[ranks.size()];
        this.seenNanos = new long[ranks.size()];
    }

    /** Takes up the slot time delivered since the last call. */
    void update(RankQueue queue) {
        long deliveredNanos = 0;
        for (int rank = 0; rank < ranks.size(); rank++) {
            long chargedNanos = times.chargedNanos(rank);
            long usedNanos = chargedNanos - seenNanos[rank];
            seenNanos[rank] = chargedNanos;
            creditNanos[rank] -= usedNanos;
            deliveredNanos += usedNanos;
        }
        for (int rank = 0; rank < ranks.size(); rank++) {
            double credit = creditNanos[rank] + ranks.floorShare(rank) * deliveredNanos;
            double boundNanos = MAX_CALLS * times.meanNanos(rank);
            double mostNanos = queue.size(rank) > 0 ? boundNanos : 0;
            creditNanos[rank] = Math.max(-boundNanos, Math.min(mostNanos, credit));
        }
    }

    /** Returns the credit of a rank in calls; above 0 if its next call goes first. */
    double calls(int rank) {
        if (ranks.floorShare(rank) <= 0) {
            return 0;
        }
        return creditNanos[rank] / times.meanNanos(rank) + 1;
    }
}
