package dev.zinniaring.admission;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the retries of a pool to a percentage of its calls. Each call earns a part of a token, and
 * each retry spends one, so that at any time retries are at most {@code percent} of the calls seen.
 */
public final class RetryBudget {
    /** Bounds the burst of retries after a long time without failures. */
    private static final int MAX_TOKENS = 20;

    private static final long TOKEN = 100;

    private final int percent;
    private final AtomicLong balance = new AtomicLong();

    /**
     * Creates a budget, at first empty.
     *
     * @param percent retries allowed for each 100 calls, from 0 to 100
     * @throws IllegalArgumentException if {@code percent} is out of bounds
     */
    public RetryBudget(int percent) {
        if (percent < 0 || percent > 100) {
            throw new IllegalArgumentException("percent must be from 0 to 100, was " + percent);
        }
        this.percent = percent;
    }

    /** Notes a call's first attempt. */
    public void called() {
        long before = balance.get();
        while (before < MAX_TOKENS * TOKEN) {
            long after = Math.min(MAX_TOKENS * TOKEN, before + percent);
            if (balance.compareAndSet(before, after)) {
                return;
            }
            before = balance.get();
        }
    }

    /** Spends a token for a retry; returns whether there was one. */
    public boolean spend() {
        long before = balance.get();
        while (before >= TOKEN) {
            if (balance.compareAndSet(before, before - TOKEN)) {
                return true;
            }
            before = balance.get();
        }
        return false;
    }

    /** Returns how many retries the budget allows at present. */
    public int tokens() {
        return (int) (balance.get() / TOKEN);
    }
}
