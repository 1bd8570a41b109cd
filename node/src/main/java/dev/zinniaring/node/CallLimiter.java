package dev.zinniaring.node;

import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Tables;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the concurrent calls of a listener, each of which occupies a thread. Less urgent ranks
 * have a lower limit, so that a flood of the least urgent calls leaves threads for the others.
 */
final class CallLimiter {
    /**
     * Upper bound of the share of threads withheld from a rank. The least urgent rank comes close
     * to it if there are many ranks.
     */
    private static final double MAX_WITHHELD_SHARE = 0.5;

    private final int maxCalls;
    private final AtomicInteger calls = new AtomicInteger();

    CallLimiter(int maxCalls) {
        this.maxCalls = maxCalls;
    }

    /**
     * Admits a call; {@link #release()} must follow when it ends.
     *
     * @throws CallException if the limit of the rank is reached
     */
    void acquire(int rankOrder, Tables tables) throws CallException {
        if (calls.incrementAndGet() > limit(rankOrder, tables)) {
            calls.decrementAndGet();
            throw CallException.notRun(503, "shed");
        }
    }

    void release() {
        calls.decrementAndGet();
    }

    int calls() {
        return calls.get();
    }

    private int limit(int rankOrder, Tables tables) {
        int ranks = Math.max(1, tables.ranks().size());
        int moreUrgent = 0;
        for (Rank rank : tables.ranks().values()) {
            if (rank.order() < rankOrder) {
                moreUrgent++;
            }
        }
        return Math.max(1, (int) (maxCalls * (1 - MAX_WITHHELD_SHARE * moreUrgent / ranks)));
    }
}
