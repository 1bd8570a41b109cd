package dev.zinniaring.routing;

import dev.zinniaring.model.EndpointRecord;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** Chooses the backend servers of a pool in turn, regardless of load and zone. */
public final class RoundRobinBalancer implements Balancer {
    private final AtomicInteger next = new AtomicInteger();

    @Override
    public Optional<EndpointRecord> choose(
            PoolEndpoints pool, Set<String> excludedServerIds, String ownZone) {
        List<EndpointRecord> endpoints = pool.endpoints();
        if (endpoints.isEmpty()) {
            return Optional.empty();
        }
        int index = Math.floorMod(next.getAndIncrement(), endpoints.size());
        return Candidates.firstAllowed(endpoints, index, excludedServerIds);
    }

    @Override
    public void started(String serverId) {}

    @Override
    public void finished(String serverId, CallResult result) {}

    @Override
    public void retain(Set<String> serverIds) {}
}
