package dev.zinniaring.admission;

/**
 * Retries only where it cannot multiply: at the hop that saw the failure, within the pool's budget,
 * and never into a pool that sheds. A call that may have run is repeated only on an idempotent
 * route, and only once: a request that crashes backend servers would otherwise take one with each
 * retry, faster than nodes can tell each other of it.
 */
public final class BudgetedRetry implements RetryPolicy {
    private final long minLeftNanos;

    /** Creates a policy that retries only with {@code minLeftNanos} left until the deadline. */
    public BudgetedRetry(long minLeftNanos) {
        this.minLeftNanos = minLeftNanos;
    }

    @Override
    public boolean mayRetry(FailedAttempt failed, RetryBudget budget) {
        if (failed.inboundAttempt() > 1 || failed.attempt() > failed.maxRetries()) {
            return false;
        }
        if (!failed.provedNotRun() && (!failed.idempotent() || failed.attempt() > 1)) {
            return false;
        }
        if (failed.poolShedding() || failed.leftNanos() < minLeftNanos) {
            return false;
        }
        return budget.spend();
    }
}
