package dev.zinniaring.routing;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** Detects outliers among the servers of a pool from the results of calls. */
final class OutlierDetector {
    private static final int MAX_CONSECUTIVE_FAILURES = 5;
    private static final int MIN_LATENCY_SAMPLES = 20;
    private static final int MAX_LATENCY_FACTOR = 3;
    private static final long MIN_EXCESS_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long COMPARE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Clock clock;
    private final Outliers outliers;
    private final AtomicLong nextComparisonNanos;
    private volatile @Nullable PoolEndpoints pool;

    OutlierDetector(Clock clock, Outliers outliers) {
        this.clock = clock;
        this.outliers = outliers;
        this.nextComparisonNanos = new AtomicLong(clock.nanos() + COMPARE_INTERVAL_NANOS);
    }

    /** Sets the current servers of the pool; returns whether they have changed. */
    boolean updatePool(PoolEndpoints present) {
        if (pool == present) {
            return false;
        }
        pool = present;
        return true;
    }

    void finished(
            String serverId,
            ServerStats stats,
            CallResult result,
            Map<String, ServerStats> servers) {
        switch (result.outcome()) {
            case SUCCESS -> {
                stats.resetFailures();
                stats.addLatency(result.latencyNanos());
                outliers.completed(serverId);
                compareLatencies(servers);
            }
            case FAILED -> recordFailure(serverId, stats);
            case CONNECT_FAILED -> outliers.avoid(serverId);
            default -> {}
        }
    }

    private void recordFailure(String serverId, ServerStats stats) {
        boolean onProbation = outliers.standing(serverId) == Outliers.Standing.PROBATION;
        if (stats.recordFailure() >= MAX_CONSECUTIVE_FAILURES || onProbation) {
            if (outliers.eject(serverId, serverIds())) {
                stats.resetFailures();
            }
        }
    }

    private void compareLatencies(Map<String, ServerStats> servers) {
        long nowNanos = clock.nanos();
        long dueNanos = nextComparisonNanos.get();
        if (nowNanos - dueNanos < 0
                || !nextComparisonNanos.compareAndSet(
                        dueNanos, nowNanos + COMPARE_INTERVAL_NANOS)) {
            return;
        }
        Set<String> members = serverIds();
        long[] latencies =
                members.stream()
                        .map(servers::get)
                        .filter(stats -> stats != null && comparable(stats))
                        .mapToLong(ServerStats::latencyNanos)
                        .sorted()
                        .toArray();
        if (latencies.length < 2) {
            return;
        }
        long medianNanos = latencies[(latencies.length - 1) / 2];
        long slowestNanos = Arrays.stream(latencies).max().orElse(0);
        boolean outlier =
                slowestNanos > MAX_LATENCY_FACTOR * medianNanos
                        && slowestNanos - medianNanos > MIN_EXCESS_NANOS;
        if (outlier) {
            ejectSlowest(servers, members, slowestNanos);
        }
    }

    private void ejectSlowest(
            Map<String, ServerStats> servers, Set<String> members, long slowestNanos) {
        for (String serverId : members) {
            ServerStats stats = servers.get(serverId);
            if (stats != null && comparable(stats) && stats.latencyNanos() >= slowestNanos) {
                if (outliers.eject(serverId, members)) {
                    stats.resetLatency();
                }
                return;
            }
        }
    }

    private static boolean comparable(ServerStats stats) {
        return stats.latencySamples() >= MIN_LATENCY_SAMPLES;
    }

    private Set<String> serverIds() {
        PoolEndpoints present = pool;
        Set<String> serverIds = new HashSet<>();
        if (present != null) {
            for (EndpointRecord endpoint : present.endpoints()) {
                serverIds.add(endpoint.serverId());
            }
        }
        return serverIds;
    }
}
