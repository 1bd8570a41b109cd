package dev.zinniaring.admission;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Keeps each rank's floor: of the slot time that the backend server delivers, a rank whose calls
 * have to wait is credited its share, and is charged what its calls use. A rank with credit goes
 * before more urgent ones. Not safe for use by several threads.
 */
final class FloorCredit {
    /** Credit that a waiting rank can build up, and debt that it can run into, in calls. */
    private static final double MAX_CALLS = 2;

    /** A rank wants its floor for this long after a call of it had to ask for a place. */
    private static final long DEMAND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final RankTable ranks;
    private final ServiceTimes times;
    private final double[] creditNanos;
    private final long[] seenNanos;
    private final long[] askedNanos;

    FloorCredit(RankTable ranks, ServiceTimes times, long nowNanos) {
        this.ranks = ranks;
        this.times = times;
        this.creditNanos = new double[ranks.size()];
        this.seenNanos = new long[ranks.size()];
        this.askedNanos = new long[ranks.size()];
        Arrays.fill(askedNanos, nowNanos - DEMAND_NANOS);
    }

    /** Notes that a call of the rank found no free slot. */
    void asked(int rank, long nowNanos) {
        askedNanos[rank] = nowNanos;
    }

    /** Takes up the slot time delivered since the last call. */
    void update(RankQueue queue, long nowNanos) {
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
            boolean wanted = queue.size(rank) > 0 || nowNanos - askedNanos[rank] < DEMAND_NANOS;
            double mostNanos = wanted ? boundNanos : 0;
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
