package dev.zinniaring.node;

import dev.zinniaring.admission.EntryShedder;
import dev.zinniaring.admission.RetryBudget;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.Pool;
import dev.zinniaring.routing.Balancer;
import dev.zinniaring.routing.Balancers;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/**
 * State that this node keeps for a pool across calls, as an entry node.
 *
 * @param pool the declaration of the pool
 * @param balancer chooses backend servers
 * @param budget limits retries
 * @param shedder sheds calls early that the backend servers would shed
 */
record PoolState(Pool pool, Balancer balancer, RetryBudget budget, EntryShedder shedder) {
    /** Thread-safe, since each thread uses its own generator. */
    private static final RandomGenerator RANDOM = () -> ThreadLocalRandom.current().nextLong();

    static PoolState of(Pool pool, Clock clock) {
        return new PoolState(
                pool,
                Balancers.of(pool.policy(), clock, RANDOM),
                new RetryBudget(pool.retryBudgetPercent()),
                new EntryShedder(clock, RANDOM));
    }

    /**
     * Returns the state for a changed declaration; keeps the objects that the change leaves valid.
     */
    PoolState withPool(Pool now, Clock clock) {
        if (now.equals(pool)) {
            return this;
        }
        PoolState fresh = of(now, clock);
        return new PoolState(
                now,
                now.policy() == pool.policy() ? balancer : fresh.balancer(),
                now.retryBudgetPercent() == pool.retryBudgetPercent() ? budget : fresh.budget(),
                shedder);
    }
}
