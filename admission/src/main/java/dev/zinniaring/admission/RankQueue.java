package dev.zinniaring.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Queue of calls by rank and, within a rank, by arrival. Each rank with a floor has some reserved
 * places that no other rank can take. Not thread-safe.
 */
final class RankQueue {
    private final RankTable ranks;
    private final int maxQueued;
    private final Deque<QueuedCall>[] calls;
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

    void add(QueuedCall call) {
        calls[call.rank].addLast(call);
        size++;
    }

    @Nullable QueuedCall peek(int rank) {
        return calls[rank].peekFirst();
    }

    @Nullable QueuedCall poll(int rank) {
        QueuedCall call = calls[rank].pollFirst();
        if (call != null) {
            size--;
        }
        return call;
    }

    /** Returns the number of queued calls that are at least as urgent as the rank. */
    int ahead(int rank) {
        int ahead = 0;
        for (int index = 0; index <= rank; index++) {
            ahead += calls[index].size();
        }
        return ahead;
    }

    /**
     * Evicts a call to make room for one of {@code rank}: the latest call of the least urgent rank
     * that occupies more than its reserved places.
     *
     * @return the evicted call, or null if no queued call may be evicted for this rank
     */
    @Nullable QueuedCall evictFor(int rank) {
        boolean reservedPlaceFree = calls[rank].size() < reservedPlaces(rank);
        int mostUrgentVictim = reservedPlaceFree ? 0 : rank + 1;
        for (int victim = calls.length - 1; victim >= mostUrgentVictim; victim--) {
            if (victim != rank && calls[victim].size() > reservedPlaces(victim)) {
                size--;
                return calls[victim].pollLast();
            }
        }
        return null;
    }

    /** Removes all calls that match {@code condition} and passes each to {@code removed}. */
    void removeIf(Predicate<QueuedCall> condition, Consumer<QueuedCall> removed) {
        for (Deque<QueuedCall> queue : calls) {
            Iterator<QueuedCall> iterator = queue.iterator();
            while (iterator.hasNext()) {
                QueuedCall call = iterator.next();
                if (condition.test(call)) {
                    iterator.remove();
                    size--;
                    removed.accept(call);
                }
            }
        }
    }

    private int reservedPlaces(int rank) {
        double share = ranks.floorShare(rank);
        return share <= 0 ? 0 : Math.max(1, (int) (share * maxQueued));
    }
}
