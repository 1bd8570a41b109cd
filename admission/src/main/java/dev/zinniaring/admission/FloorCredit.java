package dev.zinniaring.admission;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Accounts for the floor of each rank, its guaranteed share of the server's slot time. A rank whose
 * calls have to wait is credited its share of the slot time that the backend server delivers, and
 * is charged the slot time of its own calls. A rank with credit takes precedence over more urgent
 * ranks. Not thread-safe.
 */
final class FloorCredit {
    /** Bound on the credit and on the debt of a rank, in mean service times of its calls. */
    private static final double MAX_CREDIT_CALLS = 2;

    /** Time for which a rank keeps its credit after one of its calls found no free slot. */
    private static final long DEMAND_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final RankTable ranks;
    private final ServiceTimes times;
    private final double[] creditNanos;
    private final long[] accountedNanos;
    private final long[] lastDemandNanos;

    FloorCredit(RankTable ranks, ServiceTimes times, long nowNanos) {
        this.ranks = ranks;
        this.times = times;
        this.creditNanos = new double[ranks.size()];
        this.accountedNanos = new long[ranks.size()];
        this.lastDemandNanos = new long[ranks.size()];
        Arrays.fill(lastDemandNanos, nowNanos - DEMAND_RETENTION_NANOS);
    }

    /** Records that a call of the rank found no free slot. */
    void recordDemand(int rank, long nowNanos) {
        lastDemandNanos[rank] = nowNanos;
    }

    /** Credits and charges the slot time delivered since the previous update. */
    void update(RankQueue queue, long nowNanos) {
        long deliveredNanos = 0;
        for (int rank = 0; rank < ranks.size(); rank++) {
            long chargedNanos = times.chargedNanos(rank);
            long usedNanos = chargedNanos - accountedNanos[rank];
            accountedNanos[rank] = chargedNanos;
            creditNanos[rank] -= usedNanos;
            deliveredNanos += usedNanos;
        }
        for (int rank = 0; rank < ranks.size(); rank++) {
            double credit = creditNanos[rank] + ranks.floorShare(rank) * deliveredNanos;
            double boundNanos = MAX_CREDIT_CALLS * times.meanNanos(rank);
            boolean demanded =
                    queue.size(rank) > 0
                            || nowNanos - lastDemandNanos[rank] < DEMAND_RETENTION_NANOS;
            double maxCreditNanos = demanded ? boundNanos : 0;
            creditNanos[rank] = Math.max(-boundNanos, Math.min(maxCreditNanos, credit));
        }
    }

    /**
     * Returns the credit of a rank in calls; above 0 if its next call takes precedence over more
     * urgent ranks. Always 0 for a rank without a floor.
     */
    double calls(int rank) {
        if (ranks.floorShare(rank) <= 0) {
            return 0;
        }
        return creditNanos[rank] / times.meanNanos(rank) + 1;
    }
}
