package dev.zinniaring.admission;

/** Decides whether a failed attempt may be repeated at another backend server. */
public interface RetryPolicy {
    /** Returns whether to retry; if so, the retry has been charged to {@code budget}. */
    boolean mayRetry(FailedAttempt failed, RetryBudget budget);
}
