package dev.zinniaring.routing;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the less loaded of two random candidates ("power of two choices") and prefers the
 * caller's own availability zone. Each pool has its own instance.
 *
 * <p>The load of a server is the number of calls that this node has outstanding there, plus those
 * of other nodes according to the last load report, weighted less the older the report is, divided
 * by the server's limit. A server that is warming up becomes a candidate with a probability that
 * grows to 1, and a server on probation gets one call at a time. Servers of other zones are
 * considered with a probability that grows smoothly from 0 once the utilisation of the own zone
 * exceeds 70 %.
 */
public final class LeastLoadedBalancer implements Balancer {
    private static final int MAX_DRAWS = 8;
    private static final int NO_INDEX = -1;
    private static final double MIN_WARMTH = 0.1;
    private static final long INITIAL_DISCOVERY_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Clock clock;
    private final RandomGenerator random;
    private final Outliers outliers;
    private final OutlierDetector detector;
    private final ConcurrentMap<String, ServerStats> servers = new ConcurrentHashMap<>();

    /**
     * Servers in state READY that were first seen before this clock reading are assumed to have run
     * before this node started, and are treated as warmed up.
     */
    private final long initialDiscoveryEndNanos;

    private LeastLoadedBalancer(Builder builder) {
        this.clock = builder.clock;
        this.random = builder.random;
        this.outliers = new Outliers(builder.clock, builder.avoid, builder.eject);
        this.detector = new OutlierDetector(builder.clock, outliers);
        this.initialDiscoveryEndNanos = clock.nanos() + INITIAL_DISCOVERY_NANOS;
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public Optional<EndpointRecord> choose(
            PoolEndpoints pool, Set<String> excludedServerIds, String ownZone) {
        long nowNanos = clock.nanos();
        if (detector.updatePool(pool)) {
            // Creates stats for servers not chosen yet, because their warm-up time starts now.
            pool.endpoints().forEach(endpoint -> stats(endpoint.serverId()));
        }
        List<EndpointRecord> own = pool.endpointsIn(ownZone);
        EndpointRecord chosen = null;
        if (!own.isEmpty() && !considersOtherZones(own, nowNanos)) {
            chosen = lessLoaded(own, excludedServerIds, nowNanos);
        }
        if (chosen == null) {
            chosen = lessLoaded(pool.endpoints(), excludedServerIds, nowNanos);
        }
        if (chosen == null) {
            chosen = firstAccepted(pool.endpoints(), excludedServerIds);
        }
        return chosen == null
                ? lastResort(pool.endpoints(), excludedServerIds)
                : Optional.of(chosen);
    }

    @Override
    public void started(String serverId) {
        stats(serverId).started();
    }

    @Override
    public void finished(String serverId, CallResult result) {
        ServerStats stats = stats(serverId);
        long nowNanos = clock.nanos();
        stats.finished();
        ReportedLoad load = result.load();
        if (load != null) {
            stats.reported(load, nowNanos);
        }
        detector.finished(serverId, stats, result, servers);
    }

    @Override
    public void retain(Set<String> serverIds) {
        servers.keySet().retainAll(serverIds);
        outliers.retain(serverIds);
    }

    /** Returns whether a server currently receives calls, only single ones or none. */
    public Outliers.Standing standing(String serverId) {
        return outliers.standing(serverId);
    }

    private boolean considersOtherZones(List<EndpointRecord> own, long nowNanos) {
        double probability = Spill.probability(utilisation(own, nowNanos));
        return probability > 0 && random.nextDouble() < probability;
    }

    /** Returns the mean utilisation, estimated from a random sample if there are many servers. */
    private double utilisation(List<EndpointRecord> endpoints, long nowNanos) {
        int count = Math.min(MAX_DRAWS, endpoints.size());
        int from = count == endpoints.size() ? 0 : random.nextInt(endpoints.size());
        double sum = 0;
        for (int step = 0; step < count; step++) {
            sum += utilisation(endpoints.get((from + step) % endpoints.size()), nowNanos);
        }
        return sum / count;
    }

    private double utilisation(EndpointRecord endpoint, long nowNanos) {
        ServerStats stats = stats(endpoint.serverId());
        return stats.load(nowNanos) / stats.capacity(endpoint.slots());
    }

    private @Nullable EndpointRecord lessLoaded(
            List<EndpointRecord> endpoints, Set<String> excluded, long nowNanos) {
        int first = draw(endpoints, excluded, NO_INDEX, nowNanos);
        if (first == NO_INDEX) {
            return null;
        }
        EndpointRecord one = endpoints.get(first);
        int second = draw(endpoints, excluded, first, nowNanos);
        if (second == NO_INDEX) {
            return one;
        }
        EndpointRecord other = endpoints.get(second);
        return utilisationWithOneMore(one, nowNanos) <= utilisationWithOneMore(other, nowNanos)
                ? one
                : other;
    }

    private int draw(
            List<EndpointRecord> endpoints, Set<String> excluded, int taken, long nowNanos) {
        int index = draw(endpoints, excluded, taken, MIN_WARMTH, nowNanos);
        // If warm-up alone rejects the draws, most servers are warming up: draws again without it,
        // because load is then the better criterion.
        return index == NO_INDEX ? draw(endpoints, excluded, taken, 1, nowNanos) : index;
    }

    /** Returns the utilisation that a server would have with one more call. */
    private double utilisationWithOneMore(EndpointRecord endpoint, long nowNanos) {
        ServerStats stats = stats(endpoint.serverId());
        return (stats.load(nowNanos) + 1) / stats.capacity(endpoint.slots());
    }

    /**
     * Returns the index of a random endpoint that may be chosen, or {@link #NO_INDEX}.
     *
     * @param taken index that must not be returned, or {@link #NO_INDEX}
     * @param minWarmth least probability to accept a server that is warming up
     */
    private int draw(
            List<EndpointRecord> endpoints,
            Set<String> excluded,
            int taken,
            double minWarmth,
            long nowNanos) {
        int size = endpoints.size();
        int others = taken == NO_INDEX ? size : size - 1;
        for (int attempt = 0; attempt < MAX_DRAWS && others > 0; attempt++) {
            int offset = random.nextInt(others);
            int index = taken == NO_INDEX ? offset : (taken + 1 + offset) % size;
            EndpointRecord endpoint = endpoints.get(index);
            if (!excluded.contains(endpoint.serverId()) && accepts(endpoint, minWarmth, nowNanos)) {
                return index;
            }
        }
        return NO_INDEX;
    }

    private boolean accepts(EndpointRecord endpoint, double minWarmth, long nowNanos) {
        if (!standingAllows(endpoint)) {
            return false;
        }
        double warmth = Math.max(minWarmth, warmth(endpoint, nowNanos));
        return warmth >= 1 || random.nextDouble() < warmth;
    }

    private double warmth(EndpointRecord endpoint, long nowNanos) {
        if (endpoint.warmUpMillis() <= 0) {
            return 1;
        }
        ServerStats stats = stats(endpoint.serverId());
        boolean alreadyWarm =
                endpoint.state() == EndpointState.READY
                        && stats.seenBefore(initialDiscoveryEndNanos);
        return alreadyWarm ? 1 : stats.warmth(endpoint.warmUpMillis(), nowNanos);
    }

    private boolean standingAllows(EndpointRecord endpoint) {
        if (outliers.none()) {
            return true;
        }
        String serverId = endpoint.serverId();
        return switch (outliers.standing(serverId)) {
            case GOOD -> true;
            case PROBATION -> stats(serverId).outstanding() == 0;
            case EXCLUDED -> false;
        };
    }

    /**
     * Returns a server that may receive calls by trying all of them, because random draws may miss
     * the few that are left.
     */
    private @Nullable EndpointRecord firstAccepted(
            List<EndpointRecord> endpoints, Set<String> excluded) {
        int from = endpoints.isEmpty() ? 0 : random.nextInt(endpoints.size());
        for (int step = 0; step < endpoints.size(); step++) {
            EndpointRecord endpoint = endpoints.get((from + step) % endpoints.size());
            if (!excluded.contains(endpoint.serverId()) && standingAllows(endpoint)) {
                return endpoint;
            }
        }
        return null;
    }

    /**
     * Returns any server that was not tried for this call, even one that is avoided or ejected,
     * because no other server is left.
     */
    private Optional<EndpointRecord> lastResort(
            List<EndpointRecord> endpoints, Set<String> excluded) {
        if (endpoints.isEmpty()) {
            return Optional.empty();
        }
        return Candidates.firstAllowed(endpoints, random.nextInt(endpoints.size()), excluded);
    }

    private ServerStats stats(String serverId) {
        ServerStats stats = servers.get(serverId);
        if (stats != null) {
            return stats;
        }
        return servers.computeIfAbsent(serverId, id -> new ServerStats(clock.nanos()));
    }

    /** Builds a {@link LeastLoadedBalancer}. */
    public static final class Builder {
        private Clock clock = Clock.system();
        private RandomGenerator random = RandomGenerator.getDefault();
        private Duration avoid = Duration.ofSeconds(1);
        private Duration eject = Duration.ofSeconds(3);

        private Builder() {}

        /** Sets the clock; the system clock by default. */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /** Sets the source of random numbers, which must be thread-safe. */
        public Builder random(RandomGenerator value) {
            this.random = value;
            return this;
        }

        /** Sets how long a server is avoided after its first connect failure; 1 s by default. */
        public Builder avoid(Duration value) {
            this.avoid = value;
            return this;
        }

        /** Sets how long a server is ejected the first time; 3 s by default. */
        public Builder eject(Duration value) {
            this.eject = value;
            return this;
        }

        /** Returns a new balancer. */
        public LeastLoadedBalancer build() {
            return new LeastLoadedBalancer(this);
        }
    }
}
