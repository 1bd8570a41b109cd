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
 * queueing. If lowering the limit by a fifth does not help, the server is slow for another reason:
 * the longer latency becomes the usual one, and the limit goes back up.
 */
final class GradientLimit {
    private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int MIN_SAMPLES = 20;
    private static final double TOLERANCE = 1.5;
    private static final double LEAST_GRADIENT = 0.5;
    private static final double SMOOTHING = 0.3;
    private static final double OVERLOAD_SHARE = 0.1;
    private static final double OVERLOAD_FACTOR = 0.8;
    private static final double JUDGED_DROP = 0.2;
    private static final double LEAST_HELP = 0.5;
    private static final double BASELINE_DOWN = 0.05;
    private static final double BASELINE_UP = 0.01;
    private static final double BASELINE_UP_NO_HELP = 0.3;
    private static final double UNLOADED_RATIO = 1.2;

    private final AtomicInteger slots;
    private final LongAdder[] sumNanos;
    private final LongAdder[] samples;
    private final LongAdder sampleCount = new LongAdder();
    private final LongAdder overloads = new LongAdder();
    private final AtomicLong windowEndNanos;
    private final double[] baselineNanos;
    private final long[] weights;
    private volatile double limit;
    private double loweredFrom;
    private double loweredAtRatio;

    GradientLimit(int ranks, int slots, long nowNanos) {
        this.slots = new AtomicInteger(slots);
        this.limit = slots;
        this.sumNanos = adders(ranks);
        this.samples = adders(ranks);
        this.baselineNanos = new double[ranks];
        this.weights = new long[ranks];
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
        double[] latencyNanos = windowLatencies();
        double ratio = ratio(latencyNanos);
        moveBaselines(latencyNanos, baselineStep(ratio));
        double gradient = Math.max(LEAST_GRADIENT, Math.min(1, TOLERANCE / ratio));
        double wanted = gradient < 1 ? limit * gradient : limit + Math.sqrt(limit) / 2;
        double next = limit + SMOOTHING * (wanted - limit);
        if (overload) {
            next = Math.min(next, limit * OVERLOAD_FACTOR);
        }
        limit = Math.max(1, Math.min(slots.get(), next));
    }

    private double[] windowLatencies() {
        double[] latencyNanos = new double[baselineNanos.length];
        for (int rank = 0; rank < latencyNanos.length; rank++) {
            long count = samples[rank].sumThenReset();
            long sum = sumNanos[rank].sumThenReset();
            latencyNanos[rank] = count == 0 ? 0 : Math.max(1, (double) sum / count);
            weights[rank] = count;
        }
        return latencyNanos;
    }

    /** Returns how much longer calls take than they used to. */
    private double ratio(double[] latencyNanos) {
        double weighted = 0;
        double count = 0;
        for (int rank = 0; rank < latencyNanos.length; rank++) {
            if (weights[rank] == 0) {
                continue;
            }
            if (baselineNanos[rank] == 0) {
                baselineNanos[rank] = latencyNanos[rank];
            }
            weighted += weights[rank] * latencyNanos[rank] / baselineNanos[rank];
            count += weights[rank];
        }
        return count == 0 ? 1 : weighted / count;
    }

    /** Returns how far baselines may rise towards the present latency, as a share. */
    private double baselineStep(double ratio) {
        if (ratio <= TOLERANCE) {
            loweredFrom = 0;
            return ratio <= UNLOADED_RATIO ? BASELINE_UP : 0;
        }
        if (loweredFrom == 0) {
            loweredFrom = limit;
            loweredAtRatio = ratio;
        }
        double drop = 1 - limit / loweredFrom;
        if (drop < JUDGED_DROP && limit > 1) {
            return 0;
        }
        boolean helped = limit > 1 && ratio <= loweredAtRatio * (1 - LEAST_HELP * drop);
        loweredFrom = limit;
        loweredAtRatio = ratio;
        return helped ? 0 : BASELINE_UP_NO_HELP;
    }

    private void moveBaselines(double[] latencyNanos, double upStep) {
        for (int rank = 0; rank < latencyNanos.length; rank++) {
            if (weights[rank] > 0) {
                double difference = latencyNanos[rank] - baselineNanos[rank];
                baselineNanos[rank] += difference * (difference < 0 ? BASELINE_DOWN : upStep);
            }
        }
    }

    private static LongAdder[] adders(int count) {
        LongAdder[] adders = new LongAdder[count];
        for (int index = 0; index < count; index++) {
            adders[index] = new LongAdder();
        }
        return adders;
    }
}
