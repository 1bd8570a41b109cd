package dev.zinniaring.routing;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.EndpointRecord;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulates six entry nodes, two in each of three zones, that call twelve servers in simulated
 * time. Each node has its own balancer and sees the load of other nodes only through the load that
 * answers report. A server runs ten calls at once and queues the rest.
 */
final class BalanceSimulation {
    private static final int ZONES = 3;
    private static final int SERVERS = 12;
    private static final int NODES = 6;
    private static final double MEAN_MILLIS = 20;
    private static final long STEP_NANOS = 200_000;
    private static final long STEPS = 100_000;
    private static final long WARM_UP_STEPS = 5_000;

    private record Call(int node, int server, long arrivedNanos, long serviceNanos, long endNanos) {
        Call runningFrom(long nowNanos) {
            return new Call(node, server, arrivedNanos, serviceNanos, nowNanos + serviceNanos);
        }
    }

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final SplittableRandom random;
    private final double[] zoneLoads;
    private final double[] slowdownFactor = new double[SERVERS];
    private final List<Balancer> balancers = new ArrayList<>();
    private final PoolEndpoints pool;
    private final int[] running = new int[SERVERS];
    private final List<Deque<Call>> queues = new ArrayList<>();
    private final PriorityQueue<Call> runningCalls =
            new PriorityQueue<>(Comparator.comparingLong(Call::endNanos));
    private final List<Long> latencies = new ArrayList<>();
    private int callsOutOfZone;
    private int calls;

    /**
     * Creates a simulation.
     *
     * @param slowServers number of servers that take three times as long per call
     * @param zoneLoads offered load of each zone as a share of the capacity of its servers
     */
    BalanceSimulation(long seed, BalancePolicy policy, int slowServers, double... zoneLoads) {
        this.random = new SplittableRandom(seed);
        this.zoneLoads = zoneLoads;
        EndpointRecord[] servers = new EndpointRecord[SERVERS];
        for (int server = 0; server < SERVERS; server++) {
            // Two digits make the order by id equal to the order by index.
            servers[server] = Fixtures.server("s" + (10 + server), "z" + server % ZONES);
            queues.add(new ArrayDeque<>());
            slowdownFactor[server] = server < slowServers ? 3 : 1;
        }
        this.pool = Fixtures.pool(servers);
        for (int node = 0; node < NODES; node++) {
            balancers.add(Balancers.of(policy, clock, random.split()));
        }
    }

    BalanceSimulation run() {
        for (long step = 0; step < STEPS; step++) {
            clock.advance(Duration.ofNanos(STEP_NANOS));
            finishCalls(step > WARM_UP_STEPS);
            for (int node = 0; node < NODES; node++) {
                double zoneRate =
                        zoneLoads[node % ZONES]
                                * Fixtures.SLOTS
                                * SERVERS
                                / ZONES
                                / (MEAN_MILLIS * 1e6);
                if (random.nextDouble() < zoneRate * STEP_NANOS / (NODES / ZONES)) {
                    call(node);
                }
            }
        }
        return this;
    }

    double latencyMillisAt(double quantile) {
        Collections.sort(latencies);
        return latencies.get((int) (quantile * (latencies.size() - 1))) / 1e6;
    }

    /** Returns the share of calls sent to a server outside the zone of their node. */
    double outOfZoneShare() {
        return (double) callsOutOfZone / calls;
    }

    private void call(int node) {
        Balancer balancer = balancers.get(node);
        String zone = "z" + node % ZONES;
        EndpointRecord chosen = balancer.choose(pool, Set.of(), zone).orElseThrow();
        balancer.started(chosen.serverId());
        calls++;
        callsOutOfZone += chosen.zone().equals(zone) ? 0 : 1;
        int server = Integer.parseInt(chosen.serverId().substring(1)) - 10;
        double millis = MEAN_MILLIS * (0.5 + random.nextDouble()) * slowdownFactor[server];
        Call call = new Call(node, server, clock.nanos(), (long) (millis * 1e6), 0);
        if (running[server] < Fixtures.SLOTS) {
            start(call);
        } else {
            queues.get(server).addLast(call);
        }
    }

    private void start(Call call) {
        running[call.server()]++;
        runningCalls.add(call.runningFrom(clock.nanos()));
    }

    private void finishCalls(boolean measured) {
        while (!runningCalls.isEmpty() && runningCalls.peek().endNanos() <= clock.nanos()) {
            Call call = runningCalls.poll();
            int server = call.server();
            int outstanding = running[server] + queues.get(server).size();
            long latencyNanos = clock.nanos() - call.arrivedNanos();
            CallResult result =
                    CallResult.of(
                            CallOutcome.SUCCESS,
                            latencyNanos,
                            new ReportedLoad(outstanding, Fixtures.SLOTS));
            balancers.get(call.node()).finished("s" + (10 + server), result);
            if (measured) {
                latencies.add(latencyNanos);
            }
            running[server]--;
            Call next = queues.get(server).pollFirst();
            if (next != null) {
                start(next);
            }
        }
    }
}
