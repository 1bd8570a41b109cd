package dev.zinniaring.admission;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the retries of a pool to a percentage of its calls with a token bucket. Each call adds a
 * fraction of a token, and each retry spends a whole one, so that the retries never exceed {@code
 * percent} of the calls so far.
 */
public final class RetryBudget {
    /** Limits the burst of retries after a long time without failures. */
    private static final int MAX_TOKENS = 20;

    private static final long TOKEN = 100;

    private final int percent;
    private final AtomicLong balance = new AtomicLong();

    /**
     * Creates an empty budget.
     *
     * @param percent retries allowed per 100 calls, from 0 to 100
     * @throws IllegalArgumentException if {@code percent} is out of bounds
     */
    public RetryBudget(int percent) {
        if (percent < 0 || percent > 100) {
            throw new IllegalArgumentException("percent must be from 0 to 100, was " + percent);
        }
        this.percent = percent;
    }

    /** Records the first attempt of a call, which adds {@code percent} / 100 of a token. */
    public void recordCall() {
        long before = balance.get();
        while (before < MAX_TOKENS * TOKEN) {
            long after = Math.min(MAX_TOKENS * TOKEN, before + percent);
            if (balance.compareAndSet(before, after)) {
                return;
            }
            before = balance.get();
        }
    }

    /** Spends a token for a retry; returns false if there is none. */
    public boolean trySpend() {
        long before = balance.get();
        while (before >= TOKEN) {
            if (balance.compareAndSet(before, before - TOKEN)) {
                return true;
            }
            before = balance.get();
        }
        return false;
    }

    /** Returns how many retries the budget currently allows. */
    public int tokens() {
        return (int) (balance.get() / TOKEN);
    }
}
