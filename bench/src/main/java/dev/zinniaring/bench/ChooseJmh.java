package dev.zinniaring.bench;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.model.Pool;
import dev.zinniaring.routing.Balancer;
import dev.zinniaring.routing.Balancers;
import dev.zinniaring.routing.CallOutcome;
import dev.zinniaring.routing.CallResult;
import dev.zinniaring.routing.PoolEndpoints;
import dev.zinniaring.routing.ReportedLoad;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Threads;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures time and allocation of choosing a backend server and recording the start and end of the
 * call.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class ChooseJmh {
    private static final int SERVERS = 12;
    private static final CallResult RESULT =
            CallResult.of(CallOutcome.SUCCESS, 20_000_000, new ReportedLoad(3, 18));

    /** Balancing policy of the pool. */
    @Param public BalancePolicy policy = BalancePolicy.LEAST_LOADED;

    private final PoolEndpoints pool = pool();
    private volatile Balancer balancer = balancer(BalancePolicy.LEAST_LOADED);

    /** Creates the balancer for the policy. */
    @Setup
    public void createBalancer() {
        balancer = balancer(policy);
    }

    /** Chooses with a single caller thread. */
    @Benchmark
    public String oneThread() {
        return call();
    }

    /** Chooses with four caller threads on the same pool. */
    @Benchmark
    @Threads(4)
    public String fourThreads() {
        return call();
    }

    private String call() {
        String serverId = balancer.choose(pool, Set.of(), "zone-1").orElseThrow().serverId();
        balancer.started(serverId);
        balancer.finished(serverId, RESULT);
        return serverId;
    }

    private static Balancer balancer(BalancePolicy policy) {
        return Balancers.of(policy, Clock.system(), () -> ThreadLocalRandom.current().nextLong());
    }

    private static PoolEndpoints pool() {
        List<EndpointRecord> servers = new ArrayList<>();
        for (int server = 0; server < SERVERS; server++) {
            servers.add(
                    new EndpointRecord(
                            "server-" + server,
                            "service",
                            "node-" + server,
                            "zone-" + server % 3,
                            "127.0.0.1:1",
                            1,
                            1,
                            18,
                            120,
                            EndpointState.READY,
                            0));
        }
        Pool declared = new Pool("pool", "service", BalancePolicy.LEAST_LOADED, 100, 1_000, 10);
        return PoolEndpoints.of(declared, servers);
    }
}
