package dev.zinniaring.admission;

/**
 * Retries at every hop up to the route's number, without a budget: the baseline that multiplies
 * attempts along a chain of calls.
 */
public final class EveryHopRetry implements RetryPolicy {
    @Override
    public boolean mayRetry(FailedAttempt failed, RetryBudget budget) {
        boolean repeatable = failed.provedNotRun() || failed.idempotent();
        return repeatable && failed.attempt() <= failed.maxRetries() && failed.leftNanos() > 0;
    }
}
