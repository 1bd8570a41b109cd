package dev.zinniaring.admission;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;

/** Measures how long the backend server takes for the calls of each rank. */
final class ServiceTimes {
    private static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long UNKNOWN_MEAN_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final int MAX_HALVINGS = 30;
    private static final int SMOOTHING = 8;

    /** Mean absolute deviations above the mean that nearly all calls stay within. */
    private static final int DEVIATIONS = 2;

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

    /** Adds slot time that calls of the rank use; negative to correct an earlier estimate. */
    void charge(int rank, long nanos) {
        chargedNanos[rank].add(nanos);
    }

    /** Takes a sample of the time of a call that ran to its end. */
    void sample(int rank, long nanos, long nowNanos) {
        sampledAtNanos.set(rank, nowNanos);
        long before = meanNanos.get(rank);
        if (before != 0) {
            move(deviationNanos, rank, Math.abs(nanos - before));
        }
        move(meanNanos, rank, nanos);
    }

    private static void move(AtomicLongArray averages, int rank, long nanos) {
        long before = averages.get(rank);
        while (true) {
            long after = before == 0 ? nanos : before + (nanos - before) / SMOOTHING;
            if (averages.compareAndSet(rank, before, after)) {
                return;
            }
            before = averages.get(rank);
        }
    }

    /** Returns all slot time charged to the rank. */
    long chargedNanos(int rank) {
        return chargedNanos[rank].sum();
    }

    /**
     * Returns the time to plan for a call of the rank, 0 if nothing is known: what nearly every
     * call stays within, but less, down to the mean, for a call that never had that much time.
     *
     * <p>An estimate without new samples halves each second: otherwise one that is too high would
     * shed the very calls that could correct it.
     *
     * @param allowedNanos time between the call's arrival and its deadline
     */
    long plannedNanos(int rank, long allowedNanos, long nowNanos) {
        long idleNanos = Math.max(0, nowNanos - sampledAtNanos.get(rank));
        long halvings = Math.min(MAX_HALVINGS, idleNanos / HALF_LIFE_NANOS);
        long mean = meanNanos.get(rank) >> halvings;
        long likely = mean + ((DEVIATIONS * deviationNanos.get(rank)) >> halvings);
        return Math.max(mean, Math.min(likely, (mean + allowedNanos) / 2));
    }

    /** Returns the mean time of a call of the rank, above 0 even if nothing is known. */
    long meanNanos(int rank) {
        long measured = meanNanos.get(rank);
        return measured == 0 ? UNKNOWN_MEAN_NANOS : measured;
    }
}
