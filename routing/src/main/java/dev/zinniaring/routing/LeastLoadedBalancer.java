package dev.zinniaring.routing;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/** Chooses the less loaded of two random candidates. */
public final class LeastLoadedBalancer implements Balancer {
    private final RandomGenerator random;
    private final ConcurrentMap<String, AtomicInteger> outstanding = new ConcurrentHashMap<>();

    private LeastLoadedBalancer(Builder builder) {
        this.random = builder.random;
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public Optional<EndpointRecord> choose(
            PoolEndpoints pool, Set<String> excludedServerIds, String ownZone) {
        List<EndpointRecord> endpoints = pool.endpoints();
        if (endpoints.isEmpty()) {
            return Optional.empty();
        }
        Optional<EndpointRecord> first = pick(endpoints, excludedServerIds);
        Optional<EndpointRecord> second = pick(endpoints, excludedServerIds);
        if (first.isEmpty() || second.isEmpty()) {
            return first;
        }
        return load(first.get()) <= load(second.get()) ? first : second;
    }

    @Override
    public void started(String serverId) {
        outstanding.computeIfAbsent(serverId, id -> new AtomicInteger()).incrementAndGet();
    }

    @Override
    public void finished(String serverId, CallResult result) {
        AtomicInteger count = outstanding.get(serverId);
        if (count != null) {
            count.decrementAndGet();
        }
    }

    @Override
    public void retain(Set<String> serverIds) {
        outstanding.keySet().retainAll(serverIds);
    }

    private Optional<EndpointRecord> pick(List<EndpointRecord> endpoints, Set<String> excluded) {
        return Candidates.firstAllowed(endpoints, random.nextInt(endpoints.size()), excluded);
    }

    private double load(EndpointRecord endpoint) {
        AtomicInteger count = outstanding.get(endpoint.serverId());
        return count == null ? 0 : (double) count.get() / endpoint.slots();
    }

    /** Sets up a {@link LeastLoadedBalancer}. */
    public static final class Builder {
        private Clock clock = Clock.system();
        private RandomGenerator random = RandomGenerator.getDefault();

        private Builder() {}

        /** Sets the clock. */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /** Sets the source of random numbers, which must be safe for the threads that use it. */
        public Builder random(RandomGenerator value) {
            this.random = value;
            return this;
        }

        /** Returns the balancer. */
        public LeastLoadedBalancer build() {
            return new LeastLoadedBalancer(this);
        }
    }
}
