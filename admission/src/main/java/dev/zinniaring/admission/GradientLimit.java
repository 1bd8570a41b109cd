package dev.zinniaring.admission;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/**
 * Finds how many calls the backend server can run at once without queueing inside of it: lowers the
 * limit while calls take longer than they used to, and raises it again otherwise. From 1 up to the
 * slots.
 *
 * <p>Latencies are compared rank by rank, so that a change of the mix of ranks does not look like
 * queueing. Lowering that does not help shows that the server is slow for another reason, and the
 * limit goes back up.
 */
final class GradientLimit {
    private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int MIN_SAMPLES = 20;
    private static final double TOLERANCE = 1.5;
    private static final double LEAST_GRADIENT = 0.5;
    private static final double SMOOTHING = 0.3;
    private static final double OVERLOAD_SHARE = 0.1;
    private static final double OVERLOAD_FACTOR = 0.8;
    private static final double LEAST_HELP = 0.95;
    private static final double BASELINE_DOWN = 0.2;
    private static final double BASELINE_UP = 0.005;
    private static final double BASELINE_UP_NO_HELP = 0.2;

    private final AtomicInteger slots;
    private final LongAdder[] sumNanos;
    private final LongAdder[] samples;
    private final LongAdder sampleCount = new LongAdder();
    private final LongAdder overloads = new LongAdder();
    private final AtomicLong windowEndNanos;
    private final double[] baselineNanos;
    private volatile double limit;
    private double lastRatio = 1;
    private boolean lowered;

    GradientLimit(int ranks, int slots, long nowNanos) {
        this.slots = new AtomicInteger(slots);
        this.limit = slots;
        this.sumNanos = adders(ranks);
        this.samples = adders(ranks);
        this.baselineNanos = new double[ranks];
        this.windowEndNanos = new AtomicLong(nowNanos + WINDOW_NANOS);
    }

    int value() {
        return Math.max(1, Math.min(slots.get(), (int) Math.round(limit)));
    }

    int slots() {
        return slots.get();
    }

    void resize(int newSlots) {
        int before = slots.getAndSet(newSlots);
        // Keeps the ratio of limit to slots, so that added slots are of use at once.
        limit = Math.max(1, limit * newSlots / before);
    }

    void completed(int rank, long latencyNanos, long nowNanos) {
        sumNanos[rank].add(latencyNanos);
        samples[rank].increment();
        sampleCount.increment();
        closeWindow(nowNanos);
    }

    void overloaded(long nowNanos) {
        overloads.increment();
        sampleCount.increment();
        closeWindow(nowNanos);
    }

    private void closeWindow(long nowNanos) {
        long endNanos = windowEndNanos.get();
        if (nowNanos < endNanos || endNanos == Long.MAX_VALUE || sampleCount.sum() < MIN_SAMPLES) {
            return;
        }
        // Long.MAX_VALUE keeps other threads out while this one evaluates the window.
        if (windowEndNanos.compareAndSet(endNanos, Long.MAX_VALUE)) {
            evaluate();
            windowEndNanos.set(nowNanos + WINDOW_NANOS);
        }
    }

    private void evaluate() {
        long count = sampleCount.sumThenReset();
        boolean overload = overloads.sumThenReset() > OVERLOAD_SHARE * count;
        double ratio = ratio();
        double gradient = Math.max(LEAST_GRADIENT, Math.min(1, TOLERANCE / ratio));
        double wanted = limit * gradient + Math.sqrt(limit) / 2;
        if (gradient < 1) {
            wanted = Math.min(wanted, limit);
        }
        double next = limit + SMOOTHING * (wanted - limit);
        if (overload) {
            next = Math.min(next, limit * OVERLOAD_FACTOR);
        }
        lowered = next < limit;
        lastRatio = ratio;
        limit = Math.max(1, Math.min(slots.get(), next));
    }

    /** Returns how much longer calls take than they used to, and moves the baselines. */
    private double ratio() {
        double weighted = 0;
        long count = 0;
        double[] shortNanos = new double[baselineNanos.length];
        for (int rank = 0; rank < baselineNanos.length; rank++) {
            long rankCount = samples[rank].sumThenReset();
            long rankSum = sumNanos[rank].sumThenReset();
            if (rankCount == 0) {
                continue;
            }
            shortNanos[rank] = Math.max(1, (double) rankSum / rankCount);
            if (baselineNanos[rank] == 0) {
                baselineNanos[rank] = shortNanos[rank];
            }
            weighted += rankCount * shortNanos[rank] / baselineNanos[rank];
            count += rankCount;
        }
        double ratio = count == 0 ? 1 : weighted / count;
        boolean noHelp = lowered && ratio > lastRatio * LEAST_HELP;
        for (int rank = 0; rank < baselineNanos.length; rank++) {
            moveBaseline(rank, shortNanos[rank], noHelp);
        }
        return ratio;
    }

    private void moveBaseline(int rank, double shortNanos, boolean noHelp) {
        if (shortNanos == 0) {
            return;
        }
        double difference = shortNanos - baselineNanos[rank];
        double up = noHelp ? BASELINE_UP_NO_HELP : BASELINE_UP;
        baselineNanos[rank] += difference * (difference < 0 ? BASELINE_DOWN : up);
    }

    private static LongAdder[] adders(int count) {
        LongAdder[] adders = new LongAdder[count];
        for (int index = 0; index < count; index++) {
            adders[index] = new LongAdder();
        }
        return adders;
    }
}
