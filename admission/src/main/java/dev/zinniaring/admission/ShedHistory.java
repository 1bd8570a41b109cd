package dev.zinniaring.admission;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;

/** Remembers for a short time which ranks had calls shed, and derives the pressure from it. */
final class ShedHistory {
    static final long MEMORY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final RankTable ranks;
    private final AtomicLongArray lastShedNanos;

    ShedHistory(RankTable ranks, long nowNanos) {
        this.ranks = ranks;
        this.lastShedNanos = new AtomicLongArray(ranks.size());
        for (int rank = 0; rank < ranks.size(); rank++) {
            lastShedNanos.set(rank, nowNanos - 2 * MEMORY_NANOS);
        }
    }

    void shed(int rank, long nowNanos) {
        lastShedNanos.set(rank, nowNanos);
    }

    /** Returns the order of the least urgent rank without a recently shed call. */
    int pressure(long nowNanos) {
        int leastUrgent = ranks.size() - 1;
        for (int rank = leastUrgent; rank > 0; rank--) {
            if (nowNanos - lastShedNanos.get(rank) > MEMORY_NANOS) {
                return rank == leastUrgent ? AdmissionController.NO_PRESSURE : ranks.order(rank);
            }
        }
        return ranks.order(0);
    }
}
