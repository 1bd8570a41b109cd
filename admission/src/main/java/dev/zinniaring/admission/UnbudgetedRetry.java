package dev.zinniaring.admission;

/**
 * Retries at every hop up to the {@code maxRetries} of the route, without a budget. A baseline for
 * comparison: attempts multiply along a chain of calls.
 */
public final class UnbudgetedRetry implements RetryPolicy {
    @Override
    public boolean mayRetry(FailedAttempt failed, RetryBudget budget) {
        boolean repeatable = failed.knownNotRun() || failed.idempotent();
        return repeatable && failed.attempt() <= failed.maxRetries() && failed.leftNanos() > 0;
    }
}
