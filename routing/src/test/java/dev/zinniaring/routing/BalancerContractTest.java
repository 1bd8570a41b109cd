package dev.zinniaring.routing;

import static dev.zinniaring.routing.Fixtures.pool;
import static dev.zinniaring.routing.Fixtures.server;
import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests the guarantees of all balancers. Guards against the choice of a draining or excluded
 * server, and against a pool that yields no server although one is left.
 */
class BalancerContractTest {
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);

    @ParameterizedTest
    @EnumSource(BalancePolicy.class)
    void anEmptyPoolYieldsNoServer(BalancePolicy policy) {
        assertThat(balancer(policy).choose(pool(new EndpointRecord[0]), Set.of(), "z1")).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(BalancePolicy.class)
    void drainingAndExcludedServersAreNeverChosen(BalancePolicy policy) {
        Balancer balancer = balancer(policy);
        PoolEndpoints pool =
                pool(
                        server("a", "z1"),
                        server("b", "z2"),
                        server("c", "z1"),
                        server("d", "z1", EndpointState.DRAINING, 0, 1),
                        server("e", "z1", EndpointState.GONE, 0, 1));
        Set<String> chosen = new HashSet<>();
        for (int call = 0; call < 200; call++) {
            chosen.add(balancer.choose(pool, Set.of("a"), "z2").orElseThrow().serverId());
            chosen.add(balancer.choose(pool, Set.of("a"), "z1").orElseThrow().serverId());
        }
        assertThat(chosen).containsExactlyInAnyOrder("b", "c");
        assertThat(balancer.choose(pool, Set.of("a", "b", "c"), "z1")).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(BalancePolicy.class)
    void aPoolWhoseServersAllFailStillYieldsOne(BalancePolicy policy) {
        Balancer balancer = balancer(policy);
        PoolEndpoints pool = pool(server("a", "z1"), server("b", "z1"), server("c", "z2"));
        for (int call = 0; call < 60; call++) {
            String id = balancer.choose(pool, Set.of(), "z1").orElseThrow().serverId();
            balancer.started(id);
            CallOutcome outcome = call % 2 == 0 ? CallOutcome.CONNECT_FAILED : CallOutcome.FAILED;
            balancer.finished(id, CallResult.of(outcome, 1_000));
        }
        assertThat(balancer.choose(pool, Set.of(), "z1")).isPresent();
    }

    private Balancer balancer(BalancePolicy policy) {
        return Balancers.of(policy, clock, new SplittableRandom(1));
    }
}
