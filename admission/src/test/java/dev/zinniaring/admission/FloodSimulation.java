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
import java.util.function.IntConsumer;
import java.util.function.Predicate;

/**
 * Drives an admission controller with seeded random calls against a simulated backend server, in
 * simulated time. The server runs as many calls at once as it has slots, and service times do not
 * depend on the load.
 */
final class FloodSimulation {
    /** Properties of the simulated server and the deadline of its calls. */
    record Setup(
            int slots,
            int maxQueued,
            int maxQueueMillis,
            int meanServiceMillis,
            int deadlineMillis) {
        RankedAdmission ranked(ManualClock clock) {
            return RankedAdmission.builder()
                    .clock(clock)
                    .ranks(RANKS)
                    .slots(slots)
                    .maxQueued(maxQueued)
                    .maxQueueMillis(maxQueueMillis)
                    .build();
        }

        FifoAdmission fifo(ManualClock clock) {
            return new FifoAdmission(clock, slots, maxQueued, maxQueueMillis);
        }
    }

    static final List<Rank> RANKS =
            List.of(
                    new Rank("orders", 0, 100, 0.2),
                    new Rank("shelf", 1, 30, 0.1),
                    new Rank("search", 2, 5, 0.1),
                    new Rank("history", 3, 1, 0.05));

    private static final long DURATION_SECONDS = 40;
    private static final long STEP_NANOS = 100_000;
    private static final long EXPIRE_EVERY_STEPS = 100;

    private record Running(long endNanos, long serviceNanos, Permit permit) {}

    final int[] offered = new int[RANKS.size()];
    final int[] goodput = new int[RANKS.size()];
    final double[] slotNanos = new double[RANKS.size()];
    double goodputSlotNanos;
    int shedByEntryNode;
    int shedByOwnerNode;
    final Latencies urgentLatencies = new Latencies();

    private final Setup setup;
    private final double[] loads;
    private final long deadlineNanos;
    private final SplittableRandom random;
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final PriorityQueue<Running> running =
            new PriorityQueue<>(Comparator.comparingLong(Running::endNanos));
    private final AdmissionController admission;
    private Predicate<Integer> shedAtEntry = rankOrder -> false;
    private IntConsumer pressureReported = pressure -> {};

    /**
     * Creates a simulation.
     *
     * @param loads offered load of each rank as a share of the server's capacity
     */
    FloodSimulation(
            long seed,
            Setup setup,
            Function<ManualClock, AdmissionController> controller,
            double... loads) {
        this.random = new SplittableRandom(seed);
        this.setup = setup;
        this.deadlineNanos = setup.deadlineMillis() * 1_000_000L;
        this.loads = loads;
        this.admission = controller.apply(clock);
    }

    /** Adds an entry node that receives the pressure with each answer and each shed call. */
    FloodSimulation behindEntryNode() {
        EntryShedder shedder = new EntryShedder(clock, random.split());
        shedAtEntry = shedder::shouldShed;
        pressureReported = shedder::recordPressure;
        return this;
    }

    FloodSimulation run() {
        long steps = DURATION_SECONDS * 1_000_000_000L / STEP_NANOS;
        for (long step = 0; step < steps; step++) {
            clock.advance(Duration.ofNanos(STEP_NANOS));
            finishCalls();
            for (int rank = 0; rank < loads.length; rank++) {
                double rate = loads[rank] * setup.slots() / (setup.meanServiceMillis() * 1e6);
                int arrivals = poisson(rate * STEP_NANOS);
                for (int call = 0; call < arrivals; call++) {
                    admit(rank);
                }
            }
            if (step % EXPIRE_EVERY_STEPS == 0) {
                admission.expire();
            }
        }
        return this;
    }

    /** Returns the share of the capacity used by calls that completed before their deadline. */
    double goodputOfCapacity() {
        return goodputSlotNanos / (DURATION_SECONDS * 1e9 * setup.slots());
    }

    /** Returns the share of the capacity used by a rank. */
    double share(int rank) {
        return slotNanos[rank] / (DURATION_SECONDS * 1e9 * setup.slots());
    }

    double goodputRatio(int rank) {
        return (double) goodput[rank] / offered[rank];
    }

    private void admit(int rank) {
        offered[rank]++;
        if (shedAtEntry.test(RANKS.get(rank).order())) {
            shedByEntryNode++;
            return;
        }
        long arrivedNanos = clock.nanos();
        long serviceNanos = (long) (setup.meanServiceMillis() * 1e6 * (0.5 + random.nextDouble()));
        admission.admit(
                new CallInfo(RANKS.get(rank).order(), arrivedNanos + deadlineNanos),
                new AdmissionCallback() {
                    @Override
                    public void granted(Permit permit) {
                        long endNanos = clock.nanos() + serviceNanos;
                        running.add(new Running(endNanos, serviceNanos, permit));
                        recordGrant(rank, serviceNanos, endNanos - arrivedNanos);
                    }

                    @Override
                    public void shed(ShedReason reason) {
                        shedByOwnerNode++;
                        pressureReported.accept(admission.pressure());
                    }
                });
    }

    private void recordGrant(int rank, long serviceNanos, long latencyNanos) {
        slotNanos[rank] += serviceNanos;
        if (latencyNanos <= deadlineNanos) {
            goodput[rank]++;
            goodputSlotNanos += serviceNanos;
        }
        if (rank == 0) {
            urgentLatencies.add(latencyNanos);
        }
    }

    private void finishCalls() {
        while (!running.isEmpty() && running.peek().endNanos() <= clock.nanos()) {
            Running call = running.poll();
            call.permit().release(RunOutcome.COMPLETED, call.serviceNanos());
            pressureReported.accept(admission.pressure());
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
