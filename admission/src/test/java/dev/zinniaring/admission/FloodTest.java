package dev.zinniaring.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The targets of the rank-flood experiment, on a simulated server. */
class FloodTest {
    private static final int DEADLINE_MILLIS = 400;
    private static final double[] CALM = {0.2, 0.2, 0.1, 0.1};

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aFloodOfTheLeastUrgentLeavesUrgentGoodputAsItWas(long seed) {
        FloodSimulation calm = simulate(seed, FloodTest::ranked, CALM);
        FloodSimulation flood = simulate(seed, FloodTest::ranked, 0.2, 0.2, 0.1, 10);
        report("ranked, least urgent x10", seed, calm, flood);
        assertThat(flood.goodputRatio(0) / calm.goodputRatio(0)).isGreaterThanOrEqualTo(0.99);
        assertThat(flood.goodputOfCapacity()).isGreaterThanOrEqualTo(0.95);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aFloodOfTheMostUrgentLeavesEachOtherRankItsFloor(long seed) {
        FloodSimulation calm = simulate(seed, FloodTest::ranked, CALM);
        FloodSimulation flood = simulate(seed, FloodTest::ranked, 3, 0.2, 0.2, 0.2);
        report("ranked, most urgent x3", seed, calm, flood);
        for (int rank = 0; rank < FloodSimulation.RANKS.size(); rank++) {
            double floor = FloodSimulation.RANKS.get(rank).floorShare();
            assertThat(flood.share(rank)).as("share of rank " + rank).isGreaterThan(floor * 0.95);
        }
        assertThat(flood.goodputOfCapacity()).isGreaterThanOrEqualTo(0.95);
    }

    @Test
    void oneFifoQueueLosesUrgentCallsInAFloodOfTheLeastUrgent() {
        FloodSimulation calm = simulate(1, FloodTest::fifo, CALM);
        FloodSimulation flood = simulate(1, FloodTest::fifo, 0.2, 0.2, 0.1, 10);
        report("FIFO, least urgent x10", 1, calm, flood);
        report("FIFO, most urgent x3", 1, calm, simulate(1, FloodTest::fifo, 3, 0.2, 0.2, 0.2));
        assertThat(flood.goodputRatio(0) / calm.goodputRatio(0)).isLessThan(0.5);
    }

    private static FloodSimulation simulate(
            long seed, Function<ManualClock, AdmissionController> controller, double... loads) {
        return new FloodSimulation(seed, DEADLINE_MILLIS, controller, loads).run();
    }

    private static AdmissionController ranked(ManualClock clock) {
        return RankedAdmission.builder()
                .clock(clock)
                .ranks(FloodSimulation.RANKS)
                .slots(FloodSimulation.SLOTS)
                .maxQueued(FloodSimulation.MAX_QUEUED)
                .maxQueueMillis(FloodSimulation.MAX_QUEUE_MILLIS)
                .build();
    }

    private static AdmissionController fifo(ManualClock clock) {
        return new FifoAdmission(
                clock,
                FloodSimulation.SLOTS,
                FloodSimulation.MAX_QUEUED,
                FloodSimulation.MAX_QUEUE_MILLIS);
    }

    private static void report(
            String name, long seed, FloodSimulation calm, FloodSimulation flood) {
        System.out.printf(
                "%s, seed %d: urgent goodput ratio %.3f, urgent p99 %.1f ms (calm %.1f ms),"
                        + " goodput of capacity %.3f, shares %.3f %.3f %.3f %.3f%n",
                name,
                seed,
                flood.goodputRatio(0) / calm.goodputRatio(0),
                flood.urgentLatencies.millisAt(0.99),
                calm.urgentLatencies.millisAt(0.99),
                flood.goodputOfCapacity(),
                flood.share(0),
                flood.share(1),
                flood.share(2),
                flood.share(3));
    }
}
