package dev.zinniaring.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Waiting calls by rank, within a rank by arrival. Each rank with a floor has some places that no
 * other rank can take. Not safe for use by several threads.
 */
final class RankQueue {
    private final RankTable ranks;
    private final int maxQueued;
    private final Deque<Waiting>[] calls;
    private int size;

    @SuppressWarnings({"unchecked", "rawtypes"})
    RankQueue(RankTable ranks, int maxQueued) {
        this.ranks = ranks;
        this.maxQueued = maxQueued;
        this.calls = new Deque[ranks.size()];
        for (int rank = 0; rank < calls.length; rank++) {
            calls[rank] = new ArrayDeque<>();
        }
    }

    int size(int rank) {
        return calls[rank].size();
    }

    int size() {
        return size;
    }

    boolean full() {
        return size >= maxQueued;
    }

    void add(Waiting call) {
        calls[call.rank].addLast(call);
        size++;
    }

    @Nullable Waiting peek(int rank) {
        return calls[rank].peekFirst();
    }

    @Nullable Waiting poll(int rank) {
        Waiting call = calls[rank].pollFirst();
        if (call != null) {
            size--;
        }
        return call;
    }

    /** Returns how many calls wait that are as urgent as the rank or more urgent. */
    int ahead(int rank) {
        int ahead = 0;
        for (int index = 0; index <= rank; index++) {
            ahead += calls[index].size();
        }
        return ahead;
    }

    /**
     * Removes the call that gives its place to one of {@code rank}: the latest of the least urgent
     * rank that has more than its own places.
     *
     * @return null if no call has to give way
     */
    @Nullable Waiting evictFor(int rank) {
        boolean ownPlaceFree = calls[rank].size() < places(rank);
        int mostUrgentVictim = ownPlaceFree ? 0 : rank + 1;
        for (int victim = calls.length - 1; victim >= mostUrgentVictim; victim--) {
            if (victim != rank && calls[victim].size() > places(victim)) {
                size--;
                return calls[victim].pollLast();
            }
        }
        return null;
    }

    /** Removes every call that {@code condition} holds for and hands it to {@code removed}. */
    void removeIf(Predicate<Waiting> condition, Consumer<Waiting> removed) {
        for (Deque<Waiting> queue : calls) {
            Iterator<Waiting> iterator = queue.iterator();
            while (iterator.hasNext()) {
                Waiting call = iterator.next();
                if (condition.test(call)) {
                    iterator.remove();
                    size--;
                    removed.accept(call);
                }
            }
        }
    }

    private int places(int rank) {
        double share = ranks.floorShare(rank);
        return share <= 0 ? 0 : Math.max(1, (int) (share * maxQueued));
    }
}
