package dev.zinniaring.routing;

import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.model.Pool;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A pool with the backend servers that accept its calls, which excludes those that are draining or
 * gone. Immutable.
 */
public final class PoolEndpoints {
    private final Pool pool;
    private final List<EndpointRecord> endpoints;
    private final Map<String, List<EndpointRecord>> endpointsByZone = new HashMap<>();
    private final Map<String, List<EndpointRecord>> endpointsOutsideZone = new HashMap<>();

    private PoolEndpoints(Pool pool, List<EndpointRecord> endpoints) {
        this.pool = pool;
        this.endpoints = endpoints;
        for (EndpointRecord endpoint : endpoints) {
            endpointsByZone.computeIfAbsent(endpoint.zone(), this::inZone);
            endpointsOutsideZone.computeIfAbsent(endpoint.zone(), this::outsideZone);
        }
    }

    /**
     * Returns {@code pool} with the backend servers from {@code records} that run its service and
     * accept calls.
     */
    public static PoolEndpoints of(Pool pool, Collection<EndpointRecord> records) {
        List<EndpointRecord> accepting =
                records.stream()
                        .filter(record -> record.service().equals(pool.service()))
                        .filter(PoolEndpoints::acceptsCalls)
                        .sorted(Comparator.comparing(EndpointRecord::serverId))
                        .toList();
        return new PoolEndpoints(pool, accepting);
    }

    /** Returns the configuration of the pool. */
    public Pool pool() {
        return pool;
    }

    /** Returns the backend servers that accept calls, sorted by server id. */
    public List<EndpointRecord> endpoints() {
        return endpoints;
    }

    /** Returns the backend servers in {@code zone} that accept calls. */
    public List<EndpointRecord> endpointsIn(String zone) {
        return endpointsByZone.getOrDefault(zone, List.of());
    }

    /** Returns the backend servers outside {@code zone} that accept calls. */
    public List<EndpointRecord> endpointsOutside(String zone) {
        return endpointsOutsideZone.getOrDefault(zone, endpoints);
    }

    private static boolean acceptsCalls(EndpointRecord record) {
        return record.state() == EndpointState.WARMING || record.state() == EndpointState.READY;
    }

    private List<EndpointRecord> inZone(String zone) {
        return endpoints.stream().filter(record -> record.zone().equals(zone)).toList();
    }

    private List<EndpointRecord> outsideZone(String zone) {
        return endpoints.stream().filter(record -> !record.zone().equals(zone)).toList();
    }

    @Override
    public String toString() {
        return "PoolEndpoints[" + pool.name() + ", " + endpoints.size() + " endpoints]";
    }
}
