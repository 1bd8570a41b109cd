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
 * <p>The most urgent rank goes first, and within a rank the call whose target comes first. So short
 * calls that other backend servers wait for are not held up by long ones.
 *
 * @param <T> what waits
 */
final class SlotQueue<T> {
    /** Part of a running call's time that is taken to be left on average. */
    private static final double RESIDUAL = 0.5;

    /**
     * A call is expected to be answered within this part of the time to its target. Run times vary
     * by a third; a queue that fills the whole time would let half of the calls end too late.
     */
    private static final double TARGET_SHARE = 0.75;

    /** A call that cannot meet its target any more may wait for this part of its time left. */
    private static final double LATE_WAIT_SHARE = 0.1;

    private static final Comparator<Entry<?>> ORDER =
            Comparator.<Entry<?>>comparingInt(entry -> entry.demand.rankOrder())
                    .thenComparingLong(entry -> entry.demand.targetNanos())
                    .thenComparingLong(entry -> entry.number);

    private final TreeSet<Entry<T>> waiting = new TreeSet<>(ORDER);
    private long numbers;

    /** A waiting call. */
    static final class Entry<T> {
        private final T item;
        private final Demand demand;
        private final long number;

        private Entry(T item, Demand demand, long number) {
            this.item = item;
            this.demand = demand;
            this.number = number;
        }
    }

    /**
     * What a call brings.
     *
     * @param rankOrder urgency, 0 for the most urgent
     * @param urgent whether it may take the slots that are kept free for urgent calls
     * @param expectedNanos expected time in a slot
     * @param targetNanos reading of the clock up to which an answer has its full worth
     * @param deadlineNanos reading of the clock after which no answer is wanted
     */
    record Demand(
            int rankOrder,
            boolean urgent,
            long expectedNanos,
            long targetNanos,
            long deadlineNanos) {}

    /**
     * Adds a call, or returns null if it would not be answered in time.
     *
     * @param slots calls of its kind that run at once
     * @param runningNanos sum of the expected times of the running calls
     */
    @Nullable Entry<T> offer(T item, Demand demand, int slots, long runningNanos, long nowNanos) {
        Entry<T> entry = new Entry<>(item, demand, numbers++);
        long waitNanos = waitNanos(entry, slots, runningNanos);
        long doneNanos = nowNanos + waitNanos + demand.expectedNanos();
        if (doneNanos > demand.deadlineNanos()) {
            return null;
        }
        long leftNanos = demand.deadlineNanos() - nowNanos;
        double targetNanos = nowNanos + TARGET_SHARE * (demand.targetNanos() - nowNanos);
        boolean late = doneNanos > targetNanos;
        // The caller of an urgent call holds a slot elsewhere, which a refusal would waste.
        if (late && !demand.urgent() && waitNanos > leftNanos * LATE_WAIT_SHARE) {
            return null;
        }
        waiting.add(entry);
        return entry;
    }

    private long waitNanos(Entry<T> entry, int slots, long runningNanos) {
        double workNanos = RESIDUAL * runningNanos;
        for (Entry<T> ahead : waiting.headSet(entry)) {
            workNanos += ahead.demand.expectedNanos();
        }
        return (long) (workNanos / Math.max(1, slots));
    }

    /**
     * Removes the next call that can still be answered, or returns null if there is none.
     *
     * @param urgentOnly whether only the slots for urgent calls are free
     */
    @Nullable T poll(boolean urgentOnly, long nowNanos) {
        for (Iterator<Entry<T>> entries = waiting.iterator(); entries.hasNext(); ) {
            Entry<T> entry = entries.next();
            if (hopeless(entry, nowNanos) || (urgentOnly && !entry.demand.urgent())) {
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
        return nowNanos + entry.demand.expectedNanos() / 2 > entry.demand.deadlineNanos();
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
