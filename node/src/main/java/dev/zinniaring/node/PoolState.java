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
 * What this node as an entry node remembers of a pool from call to call.
 *
 * @param pool the declaration that the parts were made for
 * @param balancer chooses backend servers
 * @param budget bounds retries
 * @param shedder sheds calls that the pool would shed
 */
record PoolState(Pool pool, Balancer balancer, RetryBudget budget, EntryShedder shedder) {
    /** Safe for all threads that make calls. */
    private static final RandomGenerator RANDOM = () -> ThreadLocalRandom.current().nextLong();

    static PoolState of(Pool pool, Clock clock) {
        return new PoolState(
                pool,
                Balancers.of(pool.policy(), clock, RANDOM),
                new RetryBudget(pool.retryBudgetPercent()),
                new EntryShedder(clock, RANDOM));
    }

    /** Returns the state for a changed declaration; it keeps what the change leaves valid. */
    PoolState changedTo(Pool now, Clock clock) {
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
