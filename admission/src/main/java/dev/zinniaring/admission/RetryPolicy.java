package dev.zinniaring.admission;

/** Decides whether a failed attempt may be retried at another backend server. */
public interface RetryPolicy {
    /** Returns whether to retry. A budgeted policy charges each retry to {@code budget}. */
    boolean mayRetry(FailedAttempt failed, RetryBudget budget);
}
