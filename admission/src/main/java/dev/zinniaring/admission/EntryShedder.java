package dev.zinniaring.admission;

import dev.zinniaring.kernel.Clock;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

/**
 * Sheds calls at the entry node that the owner nodes of their pool would shed anyway. Each pool has
 * its own instance. It follows the pressure that answers report: the share of calls that it sheds
 * grows while they report pressure, and falls eight times as fast when they no longer do. The share
 * stays below 1, so that the owners still receive calls to choose from.
 */
public final class EntryShedder {
    /** Below 1, so that the owner nodes still receive some calls of the shed ranks. */
    private static final double MAX_SHARE = 0.95;

    private static final double GROWTH_PER_SECOND = 0.5;
    private static final double DECAY_PER_SECOND = 4;
    private static final long MAX_GROWTH_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long REPORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private record State(int pressure, double share, long updatedNanos, long lastPressureNanos) {}

    private final Clock clock;
    private final RandomGenerator random;
    private final AtomicReference<State> state;

    /** Creates a shedder; {@code random} must be thread-safe if several threads call it. */
    public EntryShedder(Clock clock, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
        long nowNanos = clock.nanos();
        this.state =
                new AtomicReference<>(
                        new State(AdmissionController.NO_PRESSURE, 0, nowNanos, nowNanos));
    }

    /**
     * Records the pressure that was reported with an answer.
     *
     * @param pressure order of the least urgent rank that the answering node still admits, or
     *     {@link AdmissionController#NO_PRESSURE}
     */
    public void recordPressure(int pressure) {
        boolean underPressure = pressure != AdmissionController.NO_PRESSURE;
        State before = state();
        while (underPressure || before.share() > 0) {
            if (state.compareAndSet(before, after(before, pressure, underPressure))) {
                return;
            }
            before = state();
        }
    }

    /** Returns whether to shed this call of the given rank at the entry node. */
    public boolean shouldShed(int rankOrder) {
        State present = state();
        if (rankOrder <= present.pressure() || present.share() <= 0) {
            return false;
        }
        return random.nextDouble() < share(present, clock.nanos());
    }

    /** Returns whether the pool currently sheds calls of the given rank. */
    public boolean isShedding(int rankOrder) {
        State present = state();
        return rankOrder > present.pressure() && share(present, clock.nanos()) > 0;
    }

    private State after(State before, int pressure, boolean underPressure) {
        long nowNanos = clock.nanos();
        long elapsedNanos = Math.max(0, nowNanos - before.updatedNanos());
        double share = share(before, nowNanos);
        if (underPressure) {
            double step = Math.min(MAX_GROWTH_STEP_NANOS, elapsedNanos) / NANOS_PER_SECOND;
            share = Math.min(MAX_SHARE, share + GROWTH_PER_SECOND * step);
            return new State(pressure, share, nowNanos, nowNanos);
        }
        share = Math.max(0, share - DECAY_PER_SECOND * elapsedNanos / NANOS_PER_SECOND);
        int lastPressure = share > 0 ? before.pressure() : AdmissionController.NO_PRESSURE;
        return new State(lastPressure, share, nowNanos, before.lastPressureNanos());
    }

    /** Returns the share to shed; it decays when no pressure has been reported for a while. */
    private static double share(State present, long nowNanos) {
        long overdueNanos = nowNanos - present.lastPressureNanos() - REPORT_TIMEOUT_NANOS;
        if (overdueNanos <= 0) {
            return present.share();
        }
        return Math.max(0, present.share() - DECAY_PER_SECOND * overdueNanos / NANOS_PER_SECOND);
    }

    private State state() {
        return Objects.requireNonNull(state.get());
    }
}
