package dev.zinniaring.admission;

import dev.zinniaring.kernel.Clock;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

/**
 * Sheds calls at the entry node that their pool would shed anyway. One for each pool. It learns
 * from the pressure that answers report: the share that it sheds grows while they report pressure,
 * falls eight times as fast when they no longer do, and never reaches the whole, so that the owners
 * keep calls to choose from.
 */
public final class EntryShedder {
    private static final double MAX_SHARE = 0.95;
    private static final double GROWTH_PER_SECOND = 0.5;
    private static final double FALL_PER_SECOND = 4;
    private static final long MAX_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private record State(int pressure, double share, long atNanos, long pressedAtNanos) {}

    private final Clock clock;
    private final RandomGenerator random;
    private final AtomicReference<State> state;

    /** Creates a shedder; {@code random} must be safe for the threads that call it. */
    public EntryShedder(Clock clock, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
        long nowNanos = clock.nanos();
        this.state =
                new AtomicReference<>(
                        new State(AdmissionController.NO_PRESSURE, 0, nowNanos, nowNanos));
    }

    /**
     * Notes the pressure that came with an answer.
     *
     * @param pressure order of the least urgent rank that the answering node still admits, or
     *     {@link AdmissionController#NO_PRESSURE}
     */
    public void reported(int pressure) {
        boolean pressed = pressure != AdmissionController.NO_PRESSURE;
        State before = state();
        while (pressed || before.share() > 0) {
            if (state.compareAndSet(before, after(before, pressure, pressed))) {
                return;
            }
            before = state();
        }
    }

    /** Returns whether to shed a call of the given rank here. */
    public boolean sheds(int rankOrder) {
        State present = state();
        if (rankOrder <= present.pressure() || present.share() <= 0) {
            return false;
        }
        return random.nextDouble() < share(present, clock.nanos());
    }

    /** Returns whether the pool sheds calls of the given rank at present. */
    public boolean shedding(int rankOrder) {
        State present = state();
        return rankOrder > present.pressure() && share(present, clock.nanos()) > 0;
    }

    private State after(State before, int pressure, boolean pressed) {
        long nowNanos = clock.nanos();
        long passedNanos = Math.max(0, nowNanos - before.atNanos());
        double share = share(before, nowNanos);
        if (pressed) {
            double step = Math.min(MAX_STEP_NANOS, passedNanos) / NANOS_PER_SECOND;
            share = Math.min(MAX_SHARE, share + GROWTH_PER_SECOND * step);
            return new State(pressure, share, nowNanos, nowNanos);
        }
        share = Math.max(0, share - FALL_PER_SECOND * passedNanos / NANOS_PER_SECOND);
        int remembered = share > 0 ? before.pressure() : AdmissionController.NO_PRESSURE;
        return new State(remembered, share, nowNanos, before.pressedAtNanos());
    }

    /** Returns the share to shed; without reports it falls as if there were no pressure. */
    private static double share(State present, long nowNanos) {
        long silentNanos = nowNanos - present.pressedAtNanos() - SILENCE_NANOS;
        if (silentNanos <= 0) {
            return present.share();
        }
        return Math.max(0, present.share() - FALL_PER_SECOND * silentNanos / NANOS_PER_SECOND);
    }

    private State state() {
        return Objects.requireNonNull(state.get());
    }
}
