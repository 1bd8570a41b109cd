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
 * Chooses the backend server of a call: the one that is expected to answer first, but one of the
 * own availability zone as long as that answers within the target, since bytes between availability
 * zones are dear.
 */
final class Placement {
    /**
     * A server of the own zone is taken if it is expected to use this part of the time to the
     * target.
     */
    private static final double LOCAL_SHARE = 0.8;

    /** Round trip between availability zones until one has been measured. */
    private static final double CROSS_ZONE_NANOS = 12e6;

    /** A cold server takes about this many times as long. */
    private static final double COLD_FACTOR = 2;

    /** Servers of other zones that are weighed for one call, so that the cost does not grow. */
    private static final int MAX_REMOTE = 6;

    /** Added to the expected time for a certain failure, in parts of the target. */
    private static final double FAILURE_PENALTY = 3;

    /** A full server is asked again after this time, in which some of its calls have ended. */
    private static final long FULL_NANOS = 25_000_000L;

    /** A server that refuses for another reason is left alone for this long, then for longer. */
    private static final long FIRST_AVOID_NANOS = 100_000_000L;

    private static final long LONGEST_AVOID_NANOS = 1_000_000_000L;

    private final Clock clock;
    private final RandomGenerator random;
    private final String zone;
    private final Predicate<EndpointRecord> unreachable;
    private final Map<String, ServerStats> stats = new HashMap<>();
    private final RunTimes runTimes = new RunTimes();

    Placement(
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
     * Returns the backend server for a call, or null if there is none.
     *
     * @param tried ids of servers that are not to be chosen
     * @param targetNanos reading of the clock up to which an answer has its full worth
     */
    @Nullable EndpointRecord choose(
            List<EndpointRecord> servers, Set<String> tried, CallRoute route, long targetNanos) {
        long nowNanos = clock.nanos();
        long routeMillis = route.targetMillis();
        double meanNanos = meanNanos(route);
        double leftNanos = Math.max(0, targetNanos - nowNanos);
        Choice local = new Choice();
        Choice remote = new Choice();
        int skip = skip(servers.size());
        for (int i = 0; i < servers.size(); i++) {
            EndpointRecord server = servers.get((i + skip) % servers.size());
            boolean own = server.zone().equals(zone);
            if (tried.contains(server.serverId())
                    || (!own && remote.count >= MAX_REMOTE)
                    || stats(server, nowNanos).avoided(route.route().name(), nowNanos)
                    || unreachable.test(server)) {
                continue;
            }
            double costNanos = costNanos(server, meanNanos, routeMillis * 1e6, nowNanos);
            (own ? local : remote).weigh(server, costNanos);
        }
        if (local.best != null && local.costNanos <= LOCAL_SHARE * leftNanos) {
            return local.best;
        }
        return local.costNanos <= remote.costNanos ? local.best : remote.best;
    }

    private int skip(int servers) {
        return servers <= 1 ? 0 : random.nextInt(servers);
    }

    private double costNanos(
            EndpointRecord server, double meanNanos, double targetNanos, long nowNanos) {
        ServerStats seen = stats(server, nowNanos);
        double runNanos = meanNanos * seen.slowness();
        if (server.state() == EndpointState.WARMING) {
            runNanos *= COLD_FACTOR;
        }
        double load = seen.load(nowNanos);
        double slots = Math.max(1, server.slots());
        double waitNanos =
                load < slots
                        ? 0.2 * runNanos * (load / slots) * (load / slots)
                        : runNanos * (load - slots + 1) / slots + 0.2 * runNanos;
        double pathNanos = server.zone().equals(zone) ? 0 : CROSS_ZONE_NANOS;
        double failureNanos = seen.failureShare(nowNanos) * FAILURE_PENALTY * targetNanos;
        return runNanos + waitNanos + pathNanos + failureNanos;
    }

    /** Returns the mean run time of a route over all servers. */
    double meanNanos(CallRoute route) {
        return runTimes.meanNanos(route.route().name(), route.targetMillis() * 1_000_000L / 3);
    }

    void started(EndpointRecord server) {
        stats(server, clock.nanos()).started();
    }

    /** Takes the result of a call. */
    void ended(
            EndpointRecord server,
            CallRoute route,
            long elapsedNanos,
            @Nullable OwnerResult result) {
        long nowNanos = clock.nanos();
        ServerStats seen = stats(server, nowNanos);
        seen.ended(result == null ? null : result.load(), nowNanos);
        if (result == null) {
            return;
        }
        switch (result.outcome()) {
            case RAN -> ran(seen, route, elapsedNanos, result, nowNanos);
            case DECLINED -> seen.ran(0, 0, true, nowNanos);
            case UNKNOWN -> seen.ran(0, 0, true, nowNanos);
            default -> refused(seen, route, result.reason(), nowNanos);
        }
    }

    private void ran(
            ServerStats seen,
            CallRoute route,
            long elapsedNanos,
            OwnerResult result,
            long nowNanos) {
        Answer answer = result.answer();
        boolean failed = answer == null || answer.status() >= 500;
        if (!failed) {
            runTimes.add(route.route().name(), elapsedNanos);
        }
        seen.ran(elapsedNanos, (long) meanNanos(route), failed, nowNanos);
    }

    private static void refused(ServerStats seen, CallRoute route, String reason, long nowNanos) {
        if (reason.equals("full") || reason.equals("too-late")) {
            seen.full(route.route().name(), FULL_NANOS, nowNanos);
        } else {
            seen.avoid(FIRST_AVOID_NANOS, LONGEST_AVOID_NANOS, nowNanos);
        }
    }

    private ServerStats stats(EndpointRecord server, long nowNanos) {
        return stats.computeIfAbsent(server.serverId(), id -> new ServerStats(nowNanos));
    }

    /** Forgets servers that are gone. */
    void retain(Predicate<String> known) {
        stats.entrySet().removeIf(e -> e.getValue().outstanding() == 0 && !known.test(e.getKey()));
    }

    private static final class Choice {
        private @Nullable EndpointRecord best;
        private double costNanos = Double.POSITIVE_INFINITY;
        private int count;

        void weigh(EndpointRecord server, double serverCostNanos) {
            count++;
            if (serverCostNanos < costNanos) {
                best = server;
                costNanos = serverCostNanos;
            }
        }
    }
}
