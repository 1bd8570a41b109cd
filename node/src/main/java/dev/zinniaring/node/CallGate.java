package dev.zinniaring.node;

import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Tables;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bounds the calls that a listener carries at once, each of which holds a thread. The less urgent a
 * rank, the fewer it may hold, so that a flood of the least urgent calls leaves threads for others.
 */
final class CallGate {
    /** Share of the threads that is kept from the least urgent rank if there are many ranks. */
    private static final double KEPT_SHARE = 0.5;

    private final int maxCalls;
    private final AtomicInteger calls = new AtomicInteger();

    CallGate(int maxCalls) {
        this.maxCalls = maxCalls;
    }

    /**
     * Takes a place; {@link #leave()} gives it back.
     *
     * @throws CallException if the rank has no place left
     */
    void enter(int rankOrder, Tables tables) throws CallException {
        if (calls.incrementAndGet() > limit(rankOrder, tables)) {
            calls.decrementAndGet();
            throw CallException.notRun(503, "shed");
        }
    }

    void leave() {
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
        return Math.max(1, (int) (maxCalls * (1 - KEPT_SHARE * moreUrgent / ranks)));
    }
}
