package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Latency-based load balancer with zone preference. It selects the backend server with the lowest
 * expected latency, but prefers the local availability zone while a server there can answer within
 * the target, because traffic between availability zones is expensive.
 */
final class LoadBalancer {
    /**
     * A server of the local zone is selected if it is expected to answer within this fraction of
     * the time to the target.
     */
    private static final double LOCAL_TARGET_FRACTION = 0.8;

    /** Assumed round-trip time between availability zones. */
    private static final double CROSS_ZONE_RTT_NANOS = 12e6;

    /** Factor by which a server that is still warming up is slower. */
    private static final double WARM_UP_FACTOR = 2;

    /**
     * Servers of other zones that are compared for one call, so that the cost of a selection does
     * not grow with the mesh.
     */
    private static final int MAX_REMOTE_CANDIDATES = 6;

    /**
     * Cost of a failure as a multiple of the target; it is weighted by the server's failure rate
     * and added to the expected latency.
     */
    private static final double FAILURE_PENALTY = 3;

    /** Lower bound of the slots of a server with a low request limit, as a divisor. */
    private static final double MIN_SLOTS = 0.01;

    /** Back-off after a server was full; some of its calls finish in this time. */
    private static final long FULL_BACK_OFF_NANOS = 25_000_000L;

    /** Back-off after a server was slow; half of a usual slow moment. */
    private static final long SLOW_BACK_OFF_NANOS = 150_000_000L;

    /** First back-off after a refusal for another reason; it doubles with each further refusal. */
    private static final long MIN_BACK_OFF_NANOS = 100_000_000L;

    private static final long MAX_BACK_OFF_NANOS = 1_000_000_000L;

    /** Time for which the limit of a server is kept that is not known any more. */
    private static final long UNKNOWN_SERVER_LIMIT_NANOS = 60_000_000_000L;

    private final Clock clock;
    private final RandomGenerator random;
    private final String zone;
    private final Predicate<EndpointRecord> unreachable;
    private final Map<String, ServerStats> stats = new HashMap<>();
    private final RunTimes runTimes = new RunTimes();

    LoadBalancer(
            Clock clock,
            RandomGenerator random,
            String zone,
            Predicate<EndpointRecord> unreachable) {
        this.clock = clock;
        this.random = random;
        this.zone = zone;
        this.unreachable = unreachable;
    }

    /**
     * Returns the backend server for a call, or null if none is available.
     *
     * @param tried ids of servers to exclude
     * @param targetNanos clock reading of the latency target, up to which an answer has full value
     */
    @Nullable EndpointRecord select(
            List<EndpointRecord> servers, Set<String> tried, CallRoute route, long targetNanos) {
        long nowNanos = clock.nanos();
        long routeMillis = route.targetMillis();
        double meanNanos = meanNanos(route);
        double leftNanos = Math.max(0, targetNanos - nowNanos);
        BestServer local = new BestServer();
        BestServer remote = new BestServer();
        int offset = randomOffset(servers.size());
        for (int i = 0; i < servers.size(); i++) {
            EndpointRecord server = servers.get((i + offset) % servers.size());
            boolean sameZone = server.zone().equals(zone);
            if (tried.contains(server.serverId())
                    || (!sameZone && remote.count >= MAX_REMOTE_CANDIDATES)
                    || stats(server, nowNanos).isAvoided(server, route.route().name(), nowNanos)
                    || unreachable.test(server)) {
                continue;
            }
            double costNanos = costNanos(server, meanNanos, routeMillis * 1e6, nowNanos);
            (sameZone ? local : remote).consider(server, costNanos);
        }
        if (local.best != null && local.costNanos <= LOCAL_TARGET_FRACTION * leftNanos) {
            return local.best;
        }
        return local.costNanos <= remote.costNanos ? local.best : remote.best;
    }

    private int randomOffset(int servers) {
        return servers <= 1 ? 0 : random.nextInt(servers);
    }

    /** Estimates the latency of a call on a server, including the expected cost of a failure. */
    private double costNanos(
            EndpointRecord server, double meanNanos, double targetNanos, long nowNanos) {
        ServerStats serverStats = stats(server, nowNanos);
        double runNanos = meanNanos * serverStats.relativeRunTime();
        if (server.state() == EndpointState.WARMING) {
            runNanos *= WARM_UP_FACTOR;
        }
        double load = serverStats.load(nowNanos);
        double slots = serverStats.effectiveSlots(Math.max(1, server.slots()), runNanos, nowNanos);
        // The wait grows with the square of the utilization up to 0.2 run times, and beyond that
        // with the number of calls that exceed the slots.
        double slotWaitNanos =
                load < slots
                        ? 0.2 * runNanos * (load / slots) * (load / slots)
                        : runNanos * (load - slots + 1) / Math.max(MIN_SLOTS, slots)
                                + 0.2 * runNanos;
        double waitNanos = Math.max(slotWaitNanos, serverStats.limitWaitNanos(nowNanos));
        double pathNanos = server.zone().equals(zone) ? 0 : CROSS_ZONE_RTT_NANOS;
        double failureNanos = serverStats.failureRate(nowNanos) * FAILURE_PENALTY * targetNanos;
        return runNanos + waitNanos + pathNanos + failureNanos;
    }

    /**
     * Returns the mean run time of a route over all servers, or a third of its target if no run
     * time is known yet.
     */
    double meanNanos(CallRoute route) {
        return runTimes.meanNanos(route.route().name(), route.targetMillis() * 1_000_000L / 3);
    }

    /** Returns the request limit that a server was last known to name, in requests per second. */
    double limitPerSecond(EndpointRecord server) {
        return stats(server, clock.nanos()).limitPerSecond();
    }

    /** Returns the last known request limit of a server and its age, for the log. */
    String limitText(EndpointRecord server) {
        long nowNanos = clock.nanos();
        return stats(server, nowNanos).limitText(nowNanos);
    }

    /** Records that a server said in an answer that it is leaving; it gets no further calls. */
    void recordLeaving(EndpointRecord server) {
        long nowNanos = clock.nanos();
        stats(server, nowNanos).recordLeaving(server, nowNanos);
    }

    /** Returns the time until the first of the servers leaves back-off for a route. */
    long backOffNanos(List<EndpointRecord> servers, CallRoute route) {
        long nowNanos = clock.nanos();
        return servers.stream()
                .mapToLong(
                        server ->
                                stats(server, nowNanos)
                                        .backOffNanos(route.route().name(), nowNanos))
                .min()
                .orElse(0);
    }

    /** Records that a call is sent to a server. */
    void callStarted(EndpointRecord server) {
        stats(server, clock.nanos()).started();
    }

    /**
     * Records the end of a call.
     *
     * @param result result of the call, or null if it was cancelled
     */
    void callEnded(
            EndpointRecord server,
            CallRoute route,
            long elapsedNanos,
            @Nullable OwnerResult result) {
        long nowNanos = clock.nanos();
        ServerStats serverStats = stats(server, nowNanos);
        serverStats.ended(result == null ? null : result.load(), nowNanos);
        if (result == null) {
            return;
        }
        switch (result.outcome()) {
            case RAN -> ran(serverStats, route, elapsedNanos, result, nowNanos);
            case DECLINED -> serverStats.recordRun(0, 0, true, nowNanos);
            case UNKNOWN -> serverStats.recordRun(0, 0, true, nowNanos);
            default -> refused(serverStats, route, result, nowNanos);
        }
    }

    private void ran(
            ServerStats serverStats,
            CallRoute route,
            long elapsedNanos,
            OwnerResult result,
            long nowNanos) {
        Answer answer = result.answer();
        boolean failed = answer == null || answer.status() >= 500;
        if (!failed) {
            runTimes.record(route.route().name(), elapsedNanos);
        }
        serverStats.recordRun(elapsedNanos, (long) meanNanos(route), failed, nowNanos);
    }

    private static void refused(
            ServerStats serverStats, CallRoute route, OwnerResult result, long nowNanos) {
        String reason = result.reason();
        if (reason.equals("limited")) {
            long waitNanos = serverStats.limitWaitNanos(nowNanos);
            long nanos = Math.max(FULL_BACK_OFF_NANOS, Math.min(MAX_BACK_OFF_NANOS, waitNanos));
            serverStats.backOffRoute(route.route().name(), nanos, nowNanos);
        } else if (reason.equals(OwnerCalls.SLOW)) {
            serverStats.backOffRoute(route.route().name(), SLOW_BACK_OFF_NANOS, nowNanos);
        } else if (reason.equals("full") || reason.equals("too-late")) {
            serverStats.backOffRoute(route.route().name(), FULL_BACK_OFF_NANOS, nowNanos);
        } else if (!reason.equals(CrashWatch.HELD) && !reason.equals(CrashWatch.ISOLATED)) {
            serverStats.backOff(MIN_BACK_OFF_NANOS, MAX_BACK_OFF_NANOS, nowNanos);
        }
    }

    private ServerStats stats(EndpointRecord server, long nowNanos) {
        return stats.computeIfAbsent(server.serverId(), id -> new ServerStats(nowNanos));
    }

    /**
     * Drops the statistics of servers that are no longer known and have no calls in flight. A limit
     * is kept for a while, since the record of a server is away while its node is restarted.
     */
    void retain(Predicate<String> known) {
        long nowNanos = clock.nanos();
        stats.entrySet()
                .removeIf(
                        e ->
                                e.getValue().outstanding() == 0
                                        && !known.test(e.getKey())
                                        && !e.getValue()
                                                .limitHeardWithin(
                                                        nowNanos, UNKNOWN_SERVER_LIMIT_NANOS));
    }

    private static final class BestServer {
        private @Nullable EndpointRecord best;
        private double costNanos = Double.POSITIVE_INFINITY;
        private int count;

        void consider(EndpointRecord server, double serverCostNanos) {
            count++;
            if (serverCostNanos < costNanos) {
                best = server;
                costNanos = serverCostNanos;
            }
        }
    }
}
