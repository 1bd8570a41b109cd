package dev.zinniaring.routing;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.BalancePolicy;
import java.util.random.RandomGenerator;

/** Makes the balancer that a pool declares. */
public final class Balancers {
    private Balancers() {}

    /**
     * Returns a new balancer for {@code policy}. A pool keeps its balancer from version to version,
     * because the balancer remembers its backend servers.
     *
     * @param random safe for all threads that make calls, for instance {@code () ->
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
