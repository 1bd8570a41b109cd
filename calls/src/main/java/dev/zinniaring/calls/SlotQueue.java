package dev.zinniaring.calls;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.IntToLongFunction;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Queue of the calls that wait for a slot of one backend server. Under overload, a call that could
 * not be answered in time is rejected on arrival, so that its caller can try another server.
 *
 * <p>Calls are ordered by rank and, within a rank, by earliest target time. Short calls that other
 * backend servers wait for are therefore not delayed by long ones.
 *
 * @param <T> type of the queued items
 */
final class SlotQueue<T> {
    /** Fraction of a running call's expected time that remains on average. */
    private static final double RESIDUAL_FRACTION = 0.5;

    /**
     * Fraction of the time to its target within which a call must be expected to finish. Run times
     * vary by a third; with a queue as long as the whole time, half of the calls would finish late.
     */
    static final double TARGET_FRACTION = 0.75;

    /**
     * Fraction of the time to its deadline that a call may wait in the queue if it is expected to
     * miss its target.
     */
    private static final double LATE_WAIT_FRACTION = 0.1;

    private static final Comparator<Entry<?>> ORDER =
            Comparator.<Entry<?>>comparingInt(entry -> entry.profile.rankOrder())
                    .thenComparingLong(entry -> entry.profile.targetNanos())
                    .thenComparingLong(entry -> entry.number);

    private final TreeSet<Entry<T>> waiting = new TreeSet<>(ORDER);
    private long nextNumber;

    /** A queued call; identifies it for {@link #remove}. */
    static final class Entry<T> {
        private final T item;
        private final CallProfile profile;
        private final long number;

        private Entry(T item, CallProfile profile, long number) {
            this.item = item;
            this.profile = profile;
            this.number = number;
        }
    }

    /**
     * Priority and timing of a call.
     *
     * @param rankOrder order of the rank, 0 for the most urgent
     * @param urgent whether the call may use the slots reserved for urgent calls
     * @param expectedNanos expected run time
     * @param targetNanos clock reading of the latency target, up to which an answer has full value
     * @param deadlineNanos clock reading after which the caller no longer wants an answer
     * @param maxWaitNanos longest expected wait with which the call is queued
     */
    record CallProfile(
            int rankOrder,
            boolean urgent,
            long expectedNanos,
            long targetNanos,
            long deadlineNanos,
            long maxWaitNanos) {
        /** Creates the profile of a call whose wait is bounded by its times only. */
        CallProfile(
                int rankOrder,
                boolean urgent,
                long expectedNanos,
                long targetNanos,
                long deadlineNanos) {
            this(rankOrder, urgent, expectedNanos, targetNanos, deadlineNanos, Long.MAX_VALUE);
        }
    }

    /**
     * Adds a call, or returns null if it is not expected to be answered in time.
     *
     * @param slots number of slots that this call may use
     * @param runningNanos sum of the expected run times of the running calls
     */
    @Nullable Entry<T> offer(
            T item, CallProfile profile, int slots, long runningNanos, long nowNanos) {
        return offer(item, profile, slots, runningNanos, nowNanos, ahead -> 0);
    }

    /**
     * Adds a call as {@link #offer(Object, CallProfile, int, long, long)} does, for a server that
     * also limits the rate of its requests.
     *
     * @param rateWaitNanos returns the wait that the rate limit imposes on a call, by the number of
     *     calls ahead of it
     */
    @Nullable Entry<T> offer(
            T item,
            CallProfile profile,
            int slots,
            long runningNanos,
            long nowNanos,
            IntToLongFunction rateWaitNanos) {
        Entry<T> entry = new Entry<>(item, profile, nextNumber++);
        int ahead = waiting.headSet(entry).size();
        long waitNanos =
                Math.max(waitNanos(entry, slots, runningNanos), rateWaitNanos.applyAsLong(ahead));
        long doneNanos = nowNanos + waitNanos + profile.expectedNanos();
        if (doneNanos > profile.deadlineNanos()) {
            return null;
        }
        long leftNanos = profile.deadlineNanos() - nowNanos;
        double targetNanos = nowNanos + TARGET_FRACTION * (profile.targetNanos() - nowNanos);
        if (waitNanos > profile.maxWaitNanos()) {
            return null;
        }
        boolean late = doneNanos > targetNanos;
        // The caller of an urgent call holds a slot of another server; refusing wastes its work.
        if (late && !profile.urgent() && waitNanos > leftNanos * LATE_WAIT_FRACTION) {
            return null;
        }
        waiting.add(entry);
        return entry;
    }

    private long waitNanos(Entry<T> entry, int slots, long runningNanos) {
        double workNanos = RESIDUAL_FRACTION * runningNanos;
        for (Entry<T> ahead : waiting.headSet(entry)) {
            workNanos += ahead.profile.expectedNanos();
        }
        return (long) (workNanos / Math.max(1, slots));
    }

    /**
     * Removes and returns the next call that can still meet its deadline, or returns null if there
     * is none.
     *
     * @param urgentOnly whether only slots reserved for urgent calls are free
     */
    @Nullable T poll(boolean urgentOnly, long nowNanos) {
        for (Iterator<Entry<T>> entries = waiting.iterator(); entries.hasNext(); ) {
            Entry<T> entry = entries.next();
            if (missesDeadline(entry, nowNanos) || (urgentOnly && !entry.profile.urgent())) {
                continue;
            }
            entries.remove();
            return entry.item;
        }
        return null;
    }

    /**
     * Removes and returns the calls that can no longer meet their deadline. A call whose wait is
     * bounded is also removed if it has been overtaken for so long that it misses its target, while
     * another one that waits can meet its own.
     */
    List<T> removeExpired(long nowNanos) {
        List<T> removed = new ArrayList<>();
        for (Iterator<Entry<T>> entries = waiting.iterator(); entries.hasNext(); ) {
            Entry<T> entry = entries.next();
            boolean bounded = entry.profile.maxWaitNanos() != Long.MAX_VALUE;
            boolean overtaken =
                    bounded && missesTarget(entry.profile, nowNanos) && anyInTime(nowNanos);
            if (overtaken || missesDeadline(entry, nowNanos)) {
                entries.remove();
                removed.add(entry.item);
            }
        }
        return removed;
    }

    private boolean anyInTime(long nowNanos) {
        return waiting.stream().anyMatch(entry -> !missesTarget(entry.profile, nowNanos));
    }

    private static boolean missesTarget(CallProfile profile, long nowNanos) {
        return nowNanos + profile.expectedNanos() > profile.targetNanos();
    }

    private static boolean missesDeadline(Entry<?> entry, long nowNanos) {
        return nowNanos + entry.profile.expectedNanos() / 2 > entry.profile.deadlineNanos();
    }

    /**
     * Removes and returns the calls that a rate limit delays beyond their deadline, for example
     * because more urgent calls have arrived.
     *
     * @param rateWaitNanos returns the wait of a call by the number of calls ahead of it
     */
    List<T> removeDelayed(IntToLongFunction rateWaitNanos, long nowNanos) {
        List<T> removed = new ArrayList<>();
        int ahead = 0;
        for (Iterator<Entry<T>> entries = waiting.iterator(); entries.hasNext(); ) {
            Entry<T> entry = entries.next();
            long startNanos = nowNanos + rateWaitNanos.applyAsLong(ahead);
            if (missesDeadline(entry, startNanos)) {
                entries.remove();
                removed.add(entry.item);
            } else {
                ahead++;
            }
        }
        return removed;
    }

    /** Removes a call, for example because its caller has disconnected. */
    void remove(Entry<T> entry) {
        waiting.remove(entry);
    }

    /** Removes and returns all calls. */
    List<T> removeAll() {
        return removeIf(item -> true);
    }

    /** Removes and returns the calls that match a condition. */
    List<T> removeIf(Predicate<T> condition) {
        List<T> removed = new ArrayList<>();
        for (Iterator<Entry<T>> entries = waiting.iterator(); entries.hasNext(); ) {
            T item = entries.next().item;
            if (condition.test(item)) {
                entries.remove();
                removed.add(item);
            }
        }
        return removed;
    }

    int size() {
        return waiting.size();
    }
}
