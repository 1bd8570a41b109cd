package dev.zinniaring.admission;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/**
 * Adaptive concurrency limit of a backend server. Estimates how many calls the server can run at
 * once without queueing internally: lowers the limit while latency is well above its baseline, and
 * raises it otherwise. The limit is at least 1 and at most the number of slots.
 *
 * <p>Each rank has its own latency baseline, so that a change in the mix of ranks is not mistaken
 * for queueing. If lowering the limit by a fifth does not reduce latency, the server is slow for
 * another reason: the baseline moves up to the present latency, and the limit rises again.
 */
final class GradientLimit {
    private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int MIN_SAMPLES = 20;

    /** Ratio of latency to baseline above which the limit is lowered. */
    private static final double LATENCY_TOLERANCE = 1.5;

    private static final double MIN_GRADIENT = 0.5;
    private static final double SMOOTHING = 0.3;

    /** Share of overload results in a window above which the limit is lowered in any case. */
    private static final double MAX_OVERLOAD_SHARE = 0.1;

    private static final double OVERLOAD_FACTOR = 0.8;

    /** Share by which the limit has to fall before its effect on latency is evaluated. */
    private static final double MIN_EVALUATED_DROP = 0.2;

    /**
     * Least relative fall of the latency ratio, per relative drop of the limit, to be effective.
     */
    private static final double MIN_LATENCY_REDUCTION = 0.5;

    private static final double BASELINE_STEP_DOWN = 0.05;
    private static final double BASELINE_STEP_UP = 0.01;
    private static final double BASELINE_STEP_UP_INEFFECTIVE = 0.3;

    /** Ratio of latency to baseline up to which the server counts as unloaded. */
    private static final double UNLOADED_LATENCY_RATIO = 1.2;

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
        // Keeps the ratio of limit to slots, so that added slots take effect immediately.
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
        // Long.MAX_VALUE prevents other threads from evaluating the window at the same time.
        if (windowEndNanos.compareAndSet(endNanos, Long.MAX_VALUE)) {
            evaluate();
            windowEndNanos.set(nowNanos + WINDOW_NANOS);
        }
    }

    private void evaluate() {
        long count = sampleCount.sumThenReset();
        boolean overload = overloads.sumThenReset() > MAX_OVERLOAD_SHARE * count;
        double[] latencyNanos = windowLatencies();
        double latencyRatio = latencyRatio(latencyNanos);
        updateBaselines(latencyNanos, baselineStep(latencyRatio));
        double gradient = Math.max(MIN_GRADIENT, Math.min(1, LATENCY_TOLERANCE / latencyRatio));
        double target = gradient < 1 ? limit * gradient : limit + Math.sqrt(limit) / 2;
        double next = limit + SMOOTHING * (target - limit);
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

    /** Returns the mean ratio of present latency to baseline, weighted by calls; 1 if none. */
    private double latencyRatio(double[] latencyNanos) {
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

    /**
     * Returns the share of the difference by which baselines rise towards a higher present latency.
     */
    private double baselineStep(double latencyRatio) {
        if (latencyRatio <= LATENCY_TOLERANCE) {
            loweredFrom = 0;
            return latencyRatio <= UNLOADED_LATENCY_RATIO ? BASELINE_STEP_UP : 0;
        }
        if (loweredFrom == 0) {
            loweredFrom = limit;
            loweredAtRatio = latencyRatio;
        }
        double drop = 1 - limit / loweredFrom;
        if (drop < MIN_EVALUATED_DROP && limit > 1) {
            return 0;
        }
        boolean effective =
                limit > 1 && latencyRatio <= loweredAtRatio * (1 - MIN_LATENCY_REDUCTION * drop);
        loweredFrom = limit;
        loweredAtRatio = latencyRatio;
        return effective ? 0 : BASELINE_STEP_UP_INEFFECTIVE;
    }

    private void updateBaselines(double[] latencyNanos, double upStep) {
        for (int rank = 0; rank < latencyNanos.length; rank++) {
            if (weights[rank] > 0) {
                double difference = latencyNanos[rank] - baselineNanos[rank];
                baselineNanos[rank] += difference * (difference < 0 ? BASELINE_STEP_DOWN : upStep);
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
