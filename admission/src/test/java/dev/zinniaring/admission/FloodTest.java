package dev.zinniaring.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.admission.FloodSimulation.Setup;
import dev.zinniaring.kernel.ManualClock;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks the goals of the rank-flood experiment on a simulated server. Guards against a flood of
 * one rank that reduces the goodput of the most urgent rank or takes the floor of another one.
 */
class FloodTest {
    private static final long SEED = 1;
    private static final Setup USUAL_SETUP = new Setup(6, 60, 500, 20, 400);
    private static final double[] NORMAL_LOADS = {0.2, 0.2, 0.1, 0.1};
    private static final double[] LEAST_URGENT_FLOOD = {0.2, 0.2, 0.1, 10};
    private static final double[] MOST_URGENT_FLOOD = {3, 0.2, 0.2, 0.2};

    /** The servers of both deployments, one with a single slot, and two with tight deadlines. */
    static Stream<Setup> setups() {
        return Stream.of(
                USUAL_SETUP,
                new Setup(18, 60, 500, 20, 400),
                new Setup(1, 60, 500, 20, 400),
                new Setup(6, 10, 100, 20, 200),
                new Setup(6, 200, 1_000, 100, 400));
    }

    @ParameterizedTest
    @MethodSource("setups")
    void aFloodOfTheLeastUrgentRankDoesNotReduceUrgentGoodput(Setup setup) {
        FloodSimulation normal = simulate(setup, setup::ranked, NORMAL_LOADS).run();
        FloodSimulation flood = simulate(setup, setup::ranked, LEAST_URGENT_FLOOD).run();
        report("ranked, least urgent x10", setup, normal, flood);
        assertThat(flood.goodputRatio(0) / normal.goodputRatio(0)).isGreaterThanOrEqualTo(0.99);
        assertThat(flood.goodputOfCapacity()).isGreaterThanOrEqualTo(0.95);
    }

    @ParameterizedTest
    @MethodSource("setups")
    void aFloodOfTheMostUrgentRankLeavesEachOtherRankItsFloor(Setup setup) {
        FloodSimulation normal = simulate(setup, setup::ranked, NORMAL_LOADS).run();
        FloodSimulation flood = simulate(setup, setup::ranked, MOST_URGENT_FLOOD).run();
        report("ranked, most urgent x3", setup, normal, flood);
        assertFloors(flood);
        assertThat(flood.goodputOfCapacity()).isGreaterThanOrEqualTo(0.95);
    }

    @ParameterizedTest
    @MethodSource("setups")
    void entryNodesShedMostOfTheFloodAndEachRankKeepsItsFloor(Setup setup) {
        FloodSimulation normal = simulate(setup, setup::ranked, NORMAL_LOADS).run();
        FloodSimulation flood =
                simulate(setup, setup::ranked, LEAST_URGENT_FLOOD).behindEntryNode().run();
        FloodSimulation urgent =
                simulate(setup, setup::ranked, MOST_URGENT_FLOOD).behindEntryNode().run();
        report("behind an entry node, least urgent x10", setup, normal, flood);
        report("behind an entry node, most urgent x3", setup, normal, urgent);
        assertThat(flood.goodputRatio(0)).isGreaterThanOrEqualTo(0.99 * normal.goodputRatio(0));
        assertThat(flood.goodputOfCapacity()).isGreaterThanOrEqualTo(0.95);
        assertThat(flood.shedByEntryNode).isGreaterThan(flood.shedByOwnerNode);
        assertFloors(urgent);
        assertThat(urgent.goodputOfCapacity()).isGreaterThanOrEqualTo(0.95);
    }

    @Test
    void aFifoQueueLosesUrgentCallsInAFloodOfTheLeastUrgentRank() {
        FloodSimulation normal = simulate(USUAL_SETUP, USUAL_SETUP::fifo, NORMAL_LOADS).run();
        FloodSimulation flood = simulate(USUAL_SETUP, USUAL_SETUP::fifo, LEAST_URGENT_FLOOD).run();
        report("FIFO, least urgent x10", USUAL_SETUP, normal, flood);
        report(
                "FIFO, most urgent x3",
                USUAL_SETUP,
                normal,
                simulate(USUAL_SETUP, USUAL_SETUP::fifo, MOST_URGENT_FLOOD).run());
        assertThat(flood.goodputRatio(0) / normal.goodputRatio(0)).isLessThan(0.5);
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
            String name, Setup setup, FloodSimulation normal, FloodSimulation flood) {
        System.out.printf(
                "%s, %s: urgent goodput ratio %.3f, urgent p99 %.1f ms (normal load %.1f ms),"
                        + " goodput of capacity %.3f, shares %.3f %.3f %.3f %.3f, shed by the entry"
                        + " node %d, by the owner %d%n",
                name,
                setup,
                flood.goodputRatio(0) / normal.goodputRatio(0),
                flood.urgentLatencies.quantileMillis(0.99),
                normal.urgentLatencies.quantileMillis(0.99),
                flood.goodputOfCapacity(),
                flood.share(0),
                flood.share(1),
                flood.share(2),
                flood.share(3),
                flood.shedByEntryNode,
                flood.shedByOwnerNode);
    }
}
