package dev.zinniaring.admission;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.model.Rank;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * Drives an admission controller with seeded calls against a simulated backend server, in simulated
 * time. The server runs {@code SLOTS} calls at once; each takes its own time whatever the load.
 */
final class FloodSimulation {
    static final int SLOTS = 6;
    static final int MAX_QUEUED = 60;
    static final int MAX_QUEUE_MILLIS = 500;
    static final double MEAN_SERVICE_MILLIS = 20;
    static final List<Rank> RANKS =
            List.of(
                    new Rank("orders", 0, 100, 0.2),
                    new Rank("shelf", 1, 30, 0.1),
                    new Rank("search", 2, 5, 0.1),
                    new Rank("history", 3, 1, 0.05));

    private static final long SECONDS = 60;
    private static final long STEP_NANOS = 100_000;
    private static final long EXPIRE_EVERY_STEPS = 100;

    private record Running(long endNanos, long serviceNanos, Permit permit) {}

    final int[] offered = new int[RANKS.size()];
    final int[] goodput = new int[RANKS.size()];
    final double[] slotNanos = new double[RANKS.size()];
    double goodSlotNanos;
    final Latencies urgentLatencies = new Latencies();

    private final double[] loads;
    private final long deadlineNanos;
    private final SplittableRandom random;
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final PriorityQueue<Running> running =
            new PriorityQueue<>(Comparator.comparingLong(Running::endNanos));
    private final AdmissionController admission;

    /**
     * Prepares a run.
     *
     * @param loads offered load of each rank as a share of the server's capacity
     */
    FloodSimulation(
            long seed,
            int deadlineMillis,
            Function<ManualClock, AdmissionController> controller,
            double... loads) {
        this.random = new SplittableRandom(seed);
        this.deadlineNanos = deadlineMillis * 1_000_000L;
        this.loads = loads;
        this.admission = controller.apply(clock);
    }

    FloodSimulation run() {
        long steps = SECONDS * 1_000_000_000L / STEP_NANOS;
        for (long step = 0; step < steps; step++) {
            clock.advance(Duration.ofNanos(STEP_NANOS));
            finishCalls();
            for (int rank = 0; rank < loads.length; rank++) {
                double rate = loads[rank] * SLOTS / (MEAN_SERVICE_MILLIS * 1e6);
                int arrivals = poisson(rate * STEP_NANOS);
                for (int call = 0; call < arrivals; call++) {
                    arrive(rank);
                }
            }
            if (step % EXPIRE_EVERY_STEPS == 0) {
                admission.expire();
            }
        }
        return this;
    }

    /** Returns the share of the capacity that went to calls that completed in time. */
    double goodputOfCapacity() {
        return goodSlotNanos / (SECONDS * 1e9 * SLOTS);
    }

    /** Returns the share of the capacity that a rank got. */
    double share(int rank) {
        return slotNanos[rank] / (SECONDS * 1e9 * SLOTS);
    }

    double goodputRatio(int rank) {
        return (double) goodput[rank] / offered[rank];
    }

    private void arrive(int rank) {
        offered[rank]++;
        long arrivedNanos = clock.nanos();
        long serviceNanos = (long) (MEAN_SERVICE_MILLIS * 1e6 * (0.5 + random.nextDouble()));
        admission.admit(
                new CallInfo(RANKS.get(rank).order(), arrivedNanos + deadlineNanos),
                new AdmissionCallback() {
                    @Override
                    public void granted(Permit permit) {
                        long endNanos = clock.nanos() + serviceNanos;
                        running.add(new Running(endNanos, serviceNanos, permit));
                        account(rank, serviceNanos, endNanos - arrivedNanos);
                    }

                    @Override
                    public void shed(ShedReason reason) {}
                });
    }

    private void account(int rank, long serviceNanos, long latencyNanos) {
        slotNanos[rank] += serviceNanos;
        if (latencyNanos <= deadlineNanos) {
            goodput[rank]++;
            goodSlotNanos += serviceNanos;
        }
        if (rank == 0) {
            urgentLatencies.add(latencyNanos);
        }
    }

    private void finishCalls() {
        while (!running.isEmpty() && running.peek().endNanos() <= clock.nanos()) {
            Running call = running.poll();
            call.permit().release(RunOutcome.COMPLETED, call.serviceNanos());
        }
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        double product = random.nextDouble();
        int count = 0;
        while (product > limit) {
            product *= random.nextDouble();
            count++;
        }
        return count;
    }
}
