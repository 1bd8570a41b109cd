package dev.zinniaring.routing;

import static dev.zinniaring.routing.Fixtures.pool;
import static dev.zinniaring.routing.Fixtures.server;
import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against uneven load, calls that leave the own zone too early or all at once, overload of
 * servers that are warming up, and the use of servers that fail or are slow.
 */
class LeastLoadedBalancerTest {
    private static final int CALLS = 1_000;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final LeastLoadedBalancer balancer =
            LeastLoadedBalancer.builder().clock(clock).random(new SplittableRandom(7)).build();

    @Test
    void theServerWithFewerOutstandingCallsIsChosen() {
        PoolEndpoints pool = pool(server("a", "z1"), server("b", "z1"));
        balancer.started("a");
        assertThat(choices(pool, "z1")).containsOnlyKeys("b");
    }

    @Test
    void loadOfOtherNodesCountsUntilTheReportIsOld() {
        PoolEndpoints pool = pool(server("a", "z1"), server("b", "z1"));
        report("a", 5);
        report("b", 1);
        assertThat(choices(pool, "z1")).containsOnlyKeys("b");
        balancer.started("b");
        balancer.started("b");
        clock.advance(Duration.ofSeconds(5));
        assertThat(choices(pool, "z1")).containsOnlyKeys("a");
    }

    @Test
    void theOwnZoneIsPreferred() {
        PoolEndpoints pool = pool(server("a", "z1"), server("b", "z1"), server("c", "z2"));
        assertThat(choices(pool, "z1")).containsOnlyKeys("a", "b");
        assertThat(choices(pool, "z3")).containsOnlyKeys("a", "b", "c");
    }

    @ParameterizedTest(name = "{0} of 10 slots in use: {1} to {2} of 1000 calls leave the zone")
    @CsvSource({"7, 0, 0", "8, 20, 130", "9, 150, 350", "10, 350, 600", "13, 800, 1000"})
    void callsSpillToOtherZonesGraduallyAsTheOwnZoneFillsUp(int used, int least, int most) {
        PoolEndpoints pool = pool(server("a", "z1"), server("b", "z2"));
        for (int call = 0; call < used; call++) {
            balancer.started("a");
        }
        assertThat(choices(pool, "z1").getOrDefault("b", 0)).isBetween(least, most);
    }

    @ParameterizedTest
    @MethodSource("utilisations")
    void theSpillProbabilityHasNoStep(double utilisation) {
        double before = Spill.probability(utilisation);
        double after = Spill.probability(utilisation + 0.01);
        assertThat(after - before).isBetween(0.0, 0.03);
    }

    @ParameterizedTest(name = "{0} ms after the first sight: {1} to {2} of 1000 calls")
    @CsvSource({
        // Shares of 0.1/2.1, 0.5/2.5 and 1/3 are 48, 200 and 333 calls.
        "0, 25, 75",
        "5000, 160, 240",
        "10000, 290, 380"
    })
    void aWarmingServerGetsAGrowingShare(int ageMillis, int least, int most) {
        PoolEndpoints pool =
                pool(
                        server("a", "z1"),
                        server("b", "z1"),
                        server("c", "z1", EndpointState.WARMING, 10_000, 1));
        choices(pool, "z1");
        clock.advance(Duration.ofMillis(ageMillis));
        assertThat(choices(pool, "z1").getOrDefault("c", 0)).isBetween(least, most);
    }

    @Test
    void aServerSeenLaterWarmsUpEvenIfItIsReadyAndOneSeenAtTheStartDoesNot() {
        EndpointRecord early = server("a", "z1", EndpointState.READY, 10_000, 1);
        EndpointRecord late = server("b", "z1", EndpointState.READY, 10_000, 1);
        choices(pool(early), "z1");
        clock.advance(Duration.ofMinutes(1));
        // Shares of 0.1/1.1 and 1/1.1 are 91 and 909 calls.
        assertThat(choices(pool(early, late), "z1").get("b")).isBetween(50, 140);
    }

    @Test
    void aPoolOfWarmingServersIsBalancedByLoad() {
        PoolEndpoints pool =
                pool(
                        server("a", "z1", EndpointState.WARMING, 10_000, 1),
                        server("b", "z1", EndpointState.WARMING, 10_000, 1));
        balancer.started("a");
        assertThat(choices(pool, "z1")).containsOnlyKeys("b");
    }

    @Test
    void aServerIsAvoidedForASecondAfterAConnectFailure() {
        PoolEndpoints pool = pool(server("a", "z1"), server("b", "z1"));
        finish("a", CallOutcome.CONNECT_FAILED);
        assertThat(choices(pool, "z1")).containsOnlyKeys("b");
        clock.advance(Duration.ofSeconds(1));
        assertThat(choices(pool, "z1")).containsKey("a");
    }

    @Test
    void onProbationAServerGetsOneCallAtATimeUntilItHasCompletedThree() {
        PoolEndpoints pool = pool(server("a", "z1"), server("b", "z1"));
        finish("a", CallOutcome.CONNECT_FAILED);
        clock.advance(Duration.ofSeconds(1));
        balancer.started("a");
        balancer.started("b");
        balancer.started("b");
        assertThat(choices(pool, "z1")).containsOnlyKeys("b");
        for (int call = 0; call < 3; call++) {
            finish("a", CallOutcome.SUCCESS);
        }
        assertThat(balancer.standing("a")).isEqualTo(Outliers.Standing.GOOD);
    }

    @Test
    void aFailureOnProbationEjectsAServerForTwiceAsLong() {
        choices(pool(server("a", "z1"), server("b", "z1"), server("c", "z1")), "z1");
        fail("a", 5);
        clock.advance(Duration.ofSeconds(3));
        assertThat(balancer.standing("a")).isEqualTo(Outliers.Standing.PROBATION);
        fail("a", 1);
        clock.advance(Duration.ofSeconds(5));
        assertThat(balancer.standing("a")).isEqualTo(Outliers.Standing.EXCLUDED);
        clock.advance(Duration.ofSeconds(1));
        assertThat(balancer.standing("a")).isEqualTo(Outliers.Standing.PROBATION);
    }

    @Test
    void atMostAThirdOfAPoolIsEjected() {
        choices(pool(server("a", "z1"), server("b", "z1"), server("c", "z1")), "z1");
        fail("a", 5);
        fail("b", 5);
        assertThat(balancer.standing("a")).isEqualTo(Outliers.Standing.EXCLUDED);
        assertThat(balancer.standing("b")).isEqualTo(Outliers.Standing.GOOD);
    }

    @Test
    void aSuccessBetweenFailuresPreventsEjection() {
        choices(pool(server("a", "z1"), server("b", "z1"), server("c", "z1")), "z1");
        fail("a", 4);
        finish("a", CallOutcome.SUCCESS);
        fail("a", 4);
        assertThat(balancer.standing("a")).isEqualTo(Outliers.Standing.GOOD);
    }

    @Test
    void refusedAndCancelledCallsDoNotCountAsFailures() {
        choices(pool(server("a", "z1"), server("b", "z1"), server("c", "z1")), "z1");
        for (int call = 0; call < 20; call++) {
            finish("a", CallOutcome.REFUSED);
            finish("a", CallOutcome.CANCELLED);
        }
        assertThat(balancer.standing("a")).isEqualTo(Outliers.Standing.GOOD);
    }

    @Test
    void aServerFarSlowerThanTheOthersIsEjected() {
        choices(pool(server("a", "z1"), server("b", "z1"), server("c", "z1")), "z1");
        for (int call = 0; call < 30; call++) {
            clock.advance(Duration.ofMillis(50));
            succeed("a", 200);
            succeed("b", 20);
            succeed("c", 30);
        }
        assertThat(balancer.standing("a")).isEqualTo(Outliers.Standing.EXCLUDED);
        assertThat(balancer.standing("c")).isEqualTo(Outliers.Standing.GOOD);
    }

    private Map<String, Integer> choices(PoolEndpoints pool, String zone) {
        Map<String, Integer> counts = new TreeMap<>();
        for (int call = 0; call < CALLS; call++) {
            EndpointRecord chosen = balancer.choose(pool, Set.of(), zone).orElseThrow();
            counts.merge(chosen.serverId(), 1, Integer::sum);
        }
        return counts;
    }

    private void report(String serverId, int outstanding) {
        balancer.started(serverId);
        ReportedLoad load = new ReportedLoad(outstanding, Fixtures.SLOTS);
        balancer.finished(serverId, CallResult.of(CallOutcome.SUCCESS, 1_000_000, load));
    }

    private void succeed(String serverId, int latencyMillis) {
        balancer.started(serverId);
        balancer.finished(serverId, CallResult.of(CallOutcome.SUCCESS, latencyMillis * 1_000_000L));
    }

    private void fail(String serverId, int times) {
        for (int call = 0; call < times; call++) {
            finish(serverId, CallOutcome.FAILED);
        }
    }

    private void finish(String serverId, CallOutcome outcome) {
        balancer.started(serverId);
        balancer.finished(serverId, CallResult.of(outcome, 1_000_000));
    }

    static DoubleStream utilisations() {
        return DoubleStream.concat(
                DoubleStream.of(0, 0.7, 1, 2), new Random(41).doubles(200, 0, 2));
    }
}
