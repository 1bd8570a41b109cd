package dev.zinniaring.admission;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;

/** Estimates service times and accounts for the slot time used, separately for each rank. */
final class ServiceTimes {
    private static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long DEFAULT_MEAN_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final int MAX_HALVINGS = 30;
    private static final int SMOOTHING_DIVISOR = 8;

    /** Number of mean absolute deviations above the mean that cover nearly all calls. */
    private static final int PLANNED_DEVIATIONS = 2;

    private final AtomicLongArray meanNanos;
    private final AtomicLongArray deviationNanos;
    private final AtomicLongArray sampledAtNanos;
    private final LongAdder[] chargedNanos;

    ServiceTimes(int ranks) {
        this.meanNanos = new AtomicLongArray(ranks);
        this.deviationNanos = new AtomicLongArray(ranks);
        this.sampledAtNanos = new AtomicLongArray(ranks);
        this.chargedNanos = new LongAdder[ranks];
        for (int rank = 0; rank < ranks; rank++) {
            chargedNanos[rank] = new LongAdder();
        }
    }

    /** Charges slot time to the rank; negative to correct an earlier estimate. */
    void charge(int rank, long nanos) {
        chargedNanos[rank].add(nanos);
    }

    /** Adds the service time of a completed call to the estimates of the rank. */
    void addSample(int rank, long nanos, long nowNanos) {
        sampledAtNanos.set(rank, nowNanos);
        long before = meanNanos.get(rank);
        if (before != 0) {
            updateAverage(deviationNanos, rank, Math.abs(nanos - before));
        }
        updateAverage(meanNanos, rank, nanos);
    }

    private static void updateAverage(AtomicLongArray averages, int rank, long nanos) {
        long before = averages.get(rank);
        while (true) {
            long after = before == 0 ? nanos : before + (nanos - before) / SMOOTHING_DIVISOR;
            if (averages.compareAndSet(rank, before, after)) {
                return;
            }
            before = averages.get(rank);
        }
    }

    /** Returns the total slot time charged to the rank. */
    long chargedNanos(int rank) {
        return chargedNanos[rank].sum();
    }

    /**
     * Returns the service time to plan for a call of the rank, 0 without samples. This is the time
     * within which nearly all calls complete, reduced to no less than the mean for calls whose
     * deadline never allowed that much time.
     *
     * <p>Without new samples the estimate halves every second. Otherwise an estimate that is too
     * high would never be corrected, because the calls that could provide new samples are shed.
     *
     * @param allowedNanos time between the arrival and the deadline of the call
     */
    long plannedNanos(int rank, long allowedNanos, long nowNanos) {
        long idleNanos = Math.max(0, nowNanos - sampledAtNanos.get(rank));
        long halvings = Math.min(MAX_HALVINGS, idleNanos / HALF_LIFE_NANOS);
        long mean = meanNanos.get(rank) >> halvings;
        long likely = mean + ((PLANNED_DEVIATIONS * deviationNanos.get(rank)) >> halvings);
        return Math.max(mean, Math.min(likely, (mean + allowedNanos) / 2));
    }

    /** Returns the mean service time of the rank, or a default above 0 without samples. */
    long meanNanos(int rank) {
        long measured = meanNanos.get(rank);
        return measured == 0 ? DEFAULT_MEAN_NANOS : measured;
    }
}
