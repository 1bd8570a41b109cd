package dev.zinniaring.admission;

/**
 * Retries only where retries cannot multiply along a chain of calls: at the hop that saw the
 * failure, within the retry budget of the pool, and never while the pool sheds calls of this rank.
 * A call that may have run is retried only on an idempotent route, and only once: a request that
 * crashes backend servers would otherwise crash one more with each retry, faster than nodes can
 * propagate the crash reports.
 */
public final class BudgetedRetry implements RetryPolicy {
    private final long minLeftNanos;

    /**
     * Creates a policy.
     *
     * @param minLeftNanos least time until the call's deadline for which a retry is worthwhile
     */
    public BudgetedRetry(long minLeftNanos) {
        this.minLeftNanos = minLeftNanos;
    }

    @Override
    public boolean mayRetry(FailedAttempt failed, RetryBudget budget) {
        if (failed.inboundAttempt() > 1 || failed.attempt() > failed.maxRetries()) {
            return false;
        }
        if (!failed.knownNotRun() && (!failed.idempotent() || failed.attempt() > 1)) {
            return false;
        }
        if (failed.poolShedding() || failed.leftNanos() < minLeftNanos) {
            return false;
        }
        return budget.trySpend();
    }
}
