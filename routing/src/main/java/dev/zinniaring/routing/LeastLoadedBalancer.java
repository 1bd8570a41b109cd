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
 * Chooses the less loaded of two random candidates, in the own availability zone first. One for
 * each pool.
 *
 * <p>The load of a server is what this node has outstanding there plus what others have by the last
 * report, which counts less the older it is, divided by the server's limit. A server that warms up
 * becomes a candidate with a probability that grows to 1, and one on probation gets one call at a
 * time. Other zones are considered with a probability that grows smoothly from 0 when the own
 * zone's servers are used above 70 %.
 */
public final class LeastLoadedBalancer implements Balancer {
    private static final int DRAWS = 8;
    private static final int NONE = -1;
    private static final double LEAST_WARMTH = 0.1;
    private static final long LEARNING_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Clock clock;
    private final RandomGenerator random;
    private final Outliers outliers;
    private final OutlierDetector detector;
    private final ConcurrentMap<String, ServerStats> servers = new ConcurrentHashMap<>();

    /** Servers first seen before this reading ran before this node did. */
    private final long learnedNanos;

    private LeastLoadedBalancer(Builder builder) {
        this.clock = builder.clock;
        this.random = builder.random;
        this.outliers = new Outliers(builder.clock, builder.avoid, builder.eject);
        this.detector = new OutlierDetector(builder.clock, outliers);
        this.learnedNanos = clock.nanos() + LEARNING_NANOS;
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public Optional<EndpointRecord> choose(
            PoolEndpoints pool, Set<String> excludedServerIds, String ownZone) {
        long nowNanos = clock.nanos();
        if (detector.changesTo(pool)) {
            // Also those that are not chosen yet: their warming up counts from now.
            pool.endpoints().forEach(endpoint -> stats(endpoint.serverId()));
        }
        List<EndpointRecord> own = pool.endpointsIn(ownZone);
        EndpointRecord chosen = null;
        if (!own.isEmpty() && !spills(own, nowNanos)) {
            chosen = lessLoaded(own, excludedServerIds, nowNanos);
        }
        if (chosen == null) {
            chosen = lessLoaded(pool.endpoints(), excludedServerIds, nowNanos);
        }
        if (chosen == null) {
            chosen = anyFit(pool.endpoints(), excludedServerIds);
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

    /** Returns what a server may get at present. */
    public Outliers.Standing standing(String serverId) {
        return outliers.standing(serverId);
    }

    private boolean spills(List<EndpointRecord> own, long nowNanos) {
        double probability = Spill.probability(utilisation(own, nowNanos));
        return probability > 0 && random.nextDouble() < probability;
    }

    /** Returns the mean utilisation, of a random sample if there are many servers. */
    private double utilisation(List<EndpointRecord> endpoints, long nowNanos) {
        int count = Math.min(DRAWS, endpoints.size());
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
        int first = draw(endpoints, excluded, NONE, nowNanos);
        if (first == NONE) {
            return null;
        }
        EndpointRecord one = endpoints.get(first);
        int second = draw(endpoints, excluded, first, nowNanos);
        if (second == NONE) {
            return one;
        }
        EndpointRecord other = endpoints.get(second);
        return score(one, nowNanos) <= score(other, nowNanos) ? one : other;
    }

    private int draw(
            List<EndpointRecord> endpoints, Set<String> excluded, int taken, long nowNanos) {
        int index = draw(endpoints, excluded, taken, LEAST_WARMTH, nowNanos);
        // With most servers warming up, load is a better guide than warmth.
        return index == NONE ? draw(endpoints, excluded, taken, 1, nowNanos) : index;
    }

    /** Returns the load that a server would have with this call. */
    private double score(EndpointRecord endpoint, long nowNanos) {
        ServerStats stats = stats(endpoint.serverId());
        return (stats.load(nowNanos) + 1) / stats.capacity(endpoint.slots());
    }

    /**
     * Returns the index of a random endpoint that may be chosen.
     *
     * @param taken index that is not to be returned
     * @param leastWarmth probability to accept a server that has only just started
     */
    private int draw(
            List<EndpointRecord> endpoints,
            Set<String> excluded,
            int taken,
            double leastWarmth,
            long nowNanos) {
        int size = endpoints.size();
        int others = taken == NONE ? size : size - 1;
        for (int attempt = 0; attempt < DRAWS && others > 0; attempt++) {
            int offset = random.nextInt(others);
            int index = taken == NONE ? offset : (taken + 1 + offset) % size;
            EndpointRecord endpoint = endpoints.get(index);
            if (!excluded.contains(endpoint.serverId())
                    && accepts(endpoint, leastWarmth, nowNanos)) {
                return index;
            }
        }
        return NONE;
    }

    private boolean accepts(EndpointRecord endpoint, double leastWarmth, long nowNanos) {
        if (!fit(endpoint)) {
            return false;
        }
        double warmth = Math.max(leastWarmth, warmth(endpoint, nowNanos));
        return warmth >= 1 || random.nextDouble() < warmth;
    }

    private double warmth(EndpointRecord endpoint, long nowNanos) {
        if (endpoint.warmUpMillis() <= 0) {
            return 1;
        }
        ServerStats stats = stats(endpoint.serverId());
        boolean known = endpoint.state() == EndpointState.READY && stats.seenBefore(learnedNanos);
        return known ? 1 : stats.warmth(endpoint.warmUpMillis(), nowNanos);
    }

    private boolean fit(EndpointRecord endpoint) {
        if (outliers.none()) {
            return true;
        }
        String serverId = endpoint.serverId();
        return switch (outliers.standing(serverId)) {
            case GOOD -> true;
            case PROBATION -> stats(serverId).outstanding() == 0;
            case OUT -> false;
        };
    }

    /** Returns a server in good standing by trying each: random draws may miss the few left. */
    private @Nullable EndpointRecord anyFit(List<EndpointRecord> endpoints, Set<String> excluded) {
        int from = endpoints.isEmpty() ? 0 : random.nextInt(endpoints.size());
        for (int step = 0; step < endpoints.size(); step++) {
            EndpointRecord endpoint = endpoints.get((from + step) % endpoints.size());
            if (!excluded.contains(endpoint.serverId()) && fit(endpoint)) {
                return endpoint;
            }
        }
        return null;
    }

    /** Returns any server not excluded: with none in good standing, one that is out may do. */
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

    /** Sets up a {@link LeastLoadedBalancer}. */
    public static final class Builder {
        private Clock clock = Clock.system();
        private RandomGenerator random = RandomGenerator.getDefault();
        private Duration avoid = Duration.ofSeconds(1);
        private Duration eject = Duration.ofSeconds(3);

        private Builder() {}

        /** Sets the clock; the system's by default. */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /** Sets the source of random numbers, which must be safe for the threads that use it. */
        public Builder random(RandomGenerator value) {
            this.random = value;
            return this;
        }

        /** Sets how long a server is avoided after a connect failure; 1 s by default. */
        public Builder avoid(Duration value) {
            this.avoid = value;
            return this;
        }

        /** Sets how long a server is ejected the first time; 3 s by default. */
        public Builder eject(Duration value) {
            this.eject = value;
            return this;
        }

        /** Returns the balancer. */
        public LeastLoadedBalancer build() {
            return new LeastLoadedBalancer(this);
        }
    }
}
