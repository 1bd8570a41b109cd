package dev.zinniaring.routing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.model.BalancePolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the balancing policies with servers of uneven speed and zones of uneven load. Guards
 * against tail latency dominated by slow servers, and calls that leave their zone without need.
 */
class BalanceTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void leastLoadedHasLowerTailLatencyWithSlowServersThanRoundRobinOrRandom(long seed) {
        BalanceSimulation roundRobin = run(seed, BalancePolicy.ROUND_ROBIN, 2, 0.5, 0.5, 0.5);
        BalanceSimulation random = run(seed, BalancePolicy.RANDOM, 2, 0.5, 0.5, 0.5);
        BalanceSimulation least = run(seed, BalancePolicy.LEAST_LOADED, 2, 0.5, 0.5, 0.5);
        report("two slow servers", seed, roundRobin, random, least);
        assertThat(least.latencyMillisAt(0.99)).isLessThan(roundRobin.latencyMillisAt(0.99) / 2);
        assertThat(least.latencyMillisAt(0.99)).isLessThan(random.latencyMillisAt(0.99) / 2);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anOverloadedZoneSpillsOverWhileTheOthersKeepTheirCalls(long seed) {
        BalanceSimulation even = run(seed, BalancePolicy.LEAST_LOADED, 0, 0.5, 0.5, 0.5);
        BalanceSimulation uneven = run(seed, BalancePolicy.LEAST_LOADED, 0, 1.2, 0.4, 0.4);
        report("even, then one zone at 1.2", seed, even, uneven);
        assertThat(even.outOfZoneShare()).isLessThan(0.05);
        assertThat(uneven.outOfZoneShare()).isBetween(0.1, 0.4);
        assertThat(uneven.latencyMillisAt(0.99)).isLessThan(2 * even.latencyMillisAt(0.99));
    }

    private static BalanceSimulation run(
            long seed, BalancePolicy policy, int slowServers, double... zoneLoads) {
        return new BalanceSimulation(seed, policy, slowServers, zoneLoads).run();
    }

    private static void report(String name, long seed, BalanceSimulation... runs) {
        StringBuilder line = new StringBuilder(name + ", seed " + seed + ":");
        for (BalanceSimulation run : runs) {
            line.append(
                    " p99 %.1f ms and %.3f out of zone;"
                            .formatted(run.latencyMillisAt(0.99), run.outOfZoneShare()));
        }
        System.out.println(line);
    }
}
