package dev.zinniaring.routing;

import dev.zinniaring.model.EndpointRecord;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Chooses a backend server uniformly at random, regardless of load and zone. */
public final class RandomBalancer implements Balancer {
    private final RandomGenerator random;

    /** Creates a balancer; {@code random} must be thread-safe if several threads use it. */
    public RandomBalancer(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public Optional<EndpointRecord> choose(
            PoolEndpoints pool, Set<String> excludedServerIds, String ownZone) {
        List<EndpointRecord> endpoints = pool.endpoints();
        if (endpoints.isEmpty()) {
            return Optional.empty();
        }
        return Candidates.firstAllowed(
                endpoints, random.nextInt(endpoints.size()), excludedServerIds);
    }

    @Override
    public void started(String serverId) {}

    @Override
    public void finished(String serverId, CallResult result) {}

    @Override
    public void retain(Set<String> serverIds) {}
}
