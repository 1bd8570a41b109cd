package dev.zinniaring.routing;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.BalancePolicy;
import java.util.random.RandomGenerator;

/** Creates the balancer that a pool declares. */
public final class Balancers {
    private Balancers() {}

    /**
     * Returns a new balancer for {@code policy}. A pool keeps its balancer across configuration
     * versions, because the balancer holds state about the backend servers.
     *
     * @param random source of random numbers, which must be thread-safe, for instance {@code () ->
     *     ThreadLocalRandom.current().nextLong()}
     */
    public static Balancer of(BalancePolicy policy, Clock clock, RandomGenerator random) {
        return switch (policy) {
            case LEAST_LOADED -> LeastLoadedBalancer.builder().clock(clock).random(random).build();
            case ROUND_ROBIN -> new RoundRobinBalancer();
            case RANDOM -> new RandomBalancer(random);
        };
    }
}
