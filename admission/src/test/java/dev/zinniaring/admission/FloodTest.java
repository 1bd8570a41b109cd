package dev.zinniaring.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.admission.FloodSimulation.Setup;
import dev.zinniaring.kernel.ManualClock;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The targets of the rank-flood experiment, on a simulated server. */
class FloodTest {
    private static final long SEED = 1;
    private static final Setup USUAL = new Setup(6, 60, 500, 20, 400);
    private static final double[] CALM = {0.2, 0.2, 0.1, 0.1};
    private static final double[] LEAST_URGENT = {0.2, 0.2, 0.1, 10};
    private static final double[] MOST_URGENT = {3, 0.2, 0.2, 0.2};

    /** Servers of both deployments, one with a single slot, and calls with a tight deadline. */
    static Stream<Setup> setups() {
        return Stream.of(
                USUAL,
                new Setup(18, 60, 500, 20, 400),
                new Setup(1, 60, 500, 20, 400),
                new Setup(6, 10, 100, 20, 200),
                new Setup(6, 200, 1_000, 100, 400));
    }

    @ParameterizedTest
    @MethodSource("setups")
    void aFloodOfTheLeastUrgentLeavesUrgentGoodputAsItWas(Setup setup) {
        FloodSimulation calm = simulate(setup, setup::ranked, CALM).run();
        FloodSimulation flood = simulate(setup, setup::ranked, LEAST_URGENT).run();
        report("ranked, least urgent x10", setup, calm, flood);
        assertThat(flood.goodputRatio(0) / calm.goodputRatio(0)).isGreaterThanOrEqualTo(0.99);
        assertThat(flood.goodputOfCapacity()).isGreaterThanOrEqualTo(0.95);
    }

    @ParameterizedTest
    @MethodSource("setups")
    void aFloodOfTheMostUrgentLeavesEachOtherRankItsFloor(Setup setup) {
        FloodSimulation calm = simulate(setup, setup::ranked, CALM).run();
        FloodSimulation flood = simulate(setup, setup::ranked, MOST_URGENT).run();
        report("ranked, most urgent x3", setup, calm, flood);
        assertFloors(flood);
        assertThat(flood.goodputOfCapacity()).isGreaterThanOrEqualTo(0.95);
    }

    @ParameterizedTest
    @MethodSource("setups")
    void entryNodesTakeTheFloodOffTheOwnerWithoutCostToTheFloors(Setup setup) {
        FloodSimulation calm = simulate(setup, setup::ranked, CALM).run();
        FloodSimulation flood =
                simulate(setup, setup::ranked, LEAST_URGENT).behindEntryNode().run();
        FloodSimulation urgent =
                simulate(setup, setup::ranked, MOST_URGENT).behindEntryNode().run();
        report("behind an entry node, least urgent x10", setup, calm, flood);
        report("behind an entry node, most urgent x3", setup, calm, urgent);
        assertThat(flood.goodputRatio(0)).isGreaterThanOrEqualTo(0.99 * calm.goodputRatio(0));
        assertThat(flood.goodputOfCapacity()).isGreaterThanOrEqualTo(0.95);
        assertThat(flood.shedEarly).isGreaterThan(flood.shedByOwner);
        assertFloors(urgent);
        assertThat(urgent.goodputOfCapacity()).isGreaterThanOrEqualTo(0.95);
    }

    @Test
    void oneFifoQueueLosesUrgentCallsInAFloodOfTheLeastUrgent() {
        FloodSimulation calm = simulate(USUAL, USUAL::fifo, CALM).run();
        FloodSimulation flood = simulate(USUAL, USUAL::fifo, LEAST_URGENT).run();
        report("FIFO, least urgent x10", USUAL, calm, flood);
        report(
                "FIFO, most urgent x3",
                USUAL,
                calm,
                simulate(USUAL, USUAL::fifo, MOST_URGENT).run());
        assertThat(flood.goodputRatio(0) / calm.goodputRatio(0)).isLessThan(0.5);
    }

    private static void assertFloors(FloodSimulation run) {
        for (int rank = 0; rank < FloodSimulation.RANKS.size(); rank++) {
            double floor = FloodSimulation.RANKS.get(rank).floorShare();
            assertThat(run.share(rank)).as("share of rank " + rank).isGreaterThan(floor * 0.98);
        }
    }

    private static FloodSimulation simulate(
            Setup setup, Function<ManualClock, AdmissionController> controller, double... loads) {
        return new FloodSimulation(SEED, setup, controller, loads);
    }

    private static void report(
            String name, Setup setup, FloodSimulation calm, FloodSimulation flood) {
        System.out.printf(
                "%s, %s: urgent goodput ratio %.3f, urgent p99 %.1f ms (calm %.1f ms),"
                        + " goodput of capacity %.3f, shares %.3f %.3f %.3f %.3f, shed early %d,"
                        + " by the owner %d%n",
                name,
                setup,
                flood.goodputRatio(0) / calm.goodputRatio(0),
                flood.urgentLatencies.millisAt(0.99),
                calm.urgentLatencies.millisAt(0.99),
                flood.goodputOfCapacity(),
                flood.share(0),
                flood.share(1),
                flood.share(2),
                flood.share(3),
                flood.shedEarly,
                flood.shedByOwner);
    }
}
