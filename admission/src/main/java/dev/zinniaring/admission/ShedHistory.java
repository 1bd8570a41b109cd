package dev.zinniaring.admission;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;

/** Records when each rank last had a call shed, and derives the pressure from that. */
final class ShedHistory {
    static final long RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final RankTable ranks;
    private final AtomicLongArray lastShedNanos;

    ShedHistory(RankTable ranks, long nowNanos) {
        this.ranks = ranks;
        this.lastShedNanos = new AtomicLongArray(ranks.size());
        for (int rank = 0; rank < ranks.size(); rank++) {
            lastShedNanos.set(rank, nowNanos - 2 * RETENTION_NANOS);
        }
    }

    /** Records that a call of the rank was shed because of load. */
    void record(int rank, long nowNanos) {
        lastShedNanos.set(rank, nowNanos);
    }

    /**
     * Returns the order of the least urgent rank without a recently shed call, or {@link
     * AdmissionController#NO_PRESSURE} if that is the last of several ranks. Sheds of the most
     * urgent rank are not considered: its order is returned if all other ranks had calls shed, and
     * always if it is the only rank.
     */
    int pressure(long nowNanos) {
        int leastUrgent = ranks.size() - 1;
        for (int rank = leastUrgent; rank > 0; rank--) {
            if (nowNanos - lastShedNanos.get(rank) > RETENTION_NANOS) {
                return rank == leastUrgent ? AdmissionController.NO_PRESSURE : ranks.order(rank);
            }
        }
        return ranks.order(0);
    }
}
