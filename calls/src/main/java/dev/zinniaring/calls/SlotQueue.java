package dev.zinniaring.calls;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Decides in which order calls get the slots of one backend server, and which are refused because
 * they could not be answered in time. It answers floods: a call that would wait in vain is refused
 * as it comes, so that its caller can go elsewhere.
 *
 * <p>The most urgent rank goes first, and within a rank the call that came first.
 *
 * @param <T> what waits
 */
final class SlotQueue<T> {
    /** Part of a running call's time that is taken to be left on average. */
    private static final double RESIDUAL = 0.5;

    /** A call that cannot meet its target any more may wait for this part of its time left. */
    private static final double LATE_WAIT_SHARE = 0.25;

    private static final Comparator<Entry<?>> ORDER =
            Comparator.<Entry<?>>comparingInt(entry -> entry.rankOrder)
                    .thenComparingLong(entry -> entry.number);

    private final TreeSet<Entry<T>> waiting = new TreeSet<>(ORDER);
    private long numbers;

    /** A waiting call. */
    static final class Entry<T> {
        private final T item;
        private final int rankOrder;
        private final long number;
        private final long expectedNanos;
        private final long deadlineNanos;

        private Entry(T item, int rankOrder, long number, long expectedNanos, long deadlineNanos) {
            this.item = item;
            this.rankOrder = rankOrder;
            this.number = number;
            this.expectedNanos = expectedNanos;
            this.deadlineNanos = deadlineNanos;
        }
    }

    /**
     * What a call brings.
     *
     * @param rankOrder urgency, 0 for the most urgent
     * @param expectedNanos expected time in a slot
     * @param targetNanos reading of the clock up to which an answer has its full worth
     * @param deadlineNanos reading of the clock after which no answer is wanted
     */
    record Demand(int rankOrder, long expectedNanos, long targetNanos, long deadlineNanos) {}

    /**
     * Adds a call, or returns null if it would not be answered in time.
     *
     * @param slots calls that run at once
     * @param runningNanos sum of the expected times of the running calls
     */
    @Nullable Entry<T> offer(T item, Demand demand, int slots, long runningNanos, long nowNanos) {
        long waitNanos = waitNanos(demand.rankOrder(), slots, runningNanos);
        long doneNanos = nowNanos + waitNanos + demand.expectedNanos();
        if (doneNanos > demand.deadlineNanos()) {
            return null;
        }
        long leftNanos = demand.deadlineNanos() - nowNanos;
        if (doneNanos > demand.targetNanos() && waitNanos > leftNanos * LATE_WAIT_SHARE) {
            return null;
        }
        Entry<T> entry =
                new Entry<>(
                        item,
                        demand.rankOrder(),
                        numbers++,
                        demand.expectedNanos(),
                        demand.deadlineNanos());
        waiting.add(entry);
        return entry;
    }

    /** Returns the expected wait of a call of the given rank that comes now. */
    long waitNanos(int rankOrder, int slots, long runningNanos) {
        double workNanos = RESIDUAL * runningNanos;
        for (Entry<T> entry : waiting) {
            if (entry.rankOrder > rankOrder) {
                break;
            }
            workNanos += entry.expectedNanos;
        }
        return (long) (workNanos / Math.max(1, slots));
    }

    /** Removes the next call that can still be answered, or returns null if there is none. */
    @Nullable T poll(long nowNanos) {
        for (Iterator<Entry<T>> entries = waiting.iterator(); entries.hasNext(); ) {
            Entry<T> entry = entries.next();
            if (hopeless(entry, nowNanos)) {
                continue;
            }
            entries.remove();
            return entry.item;
        }
        return null;
    }

    /** Removes the calls that can no longer be answered in time. */
    List<T> removeHopeless(long nowNanos) {
        List<T> removed = new ArrayList<>();
        for (Iterator<Entry<T>> entries = waiting.iterator(); entries.hasNext(); ) {
            Entry<T> entry = entries.next();
            if (hopeless(entry, nowNanos)) {
                entries.remove();
                removed.add(entry.item);
            }
        }
        return removed;
    }

    private static boolean hopeless(Entry<?> entry, long nowNanos) {
        return nowNanos + entry.expectedNanos / 2 > entry.deadlineNanos;
    }

    /** Removes a call whose caller has left. */
    void remove(Entry<T> entry) {
        waiting.remove(entry);
    }

    /** Removes and returns every call. */
    List<T> removeAll() {
        List<T> removed = new ArrayList<>();
        for (Entry<T> entry : waiting) {
            removed.add(entry.item);
        }
        waiting.clear();
        return removed;
    }

    int size() {
        return waiting.size();
    }
}
