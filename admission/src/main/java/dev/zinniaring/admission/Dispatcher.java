package dev.zinniaring.admission;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Chooses which queued call runs next and which calls are shed. Only {@link #addArrival} is
 * thread-safe; all other methods must be called by one thread at a time.
 */
final class Dispatcher {
    /** Carries out the decisions of the dispatcher. */
    interface Decisions {
        int limit();

        boolean tryAcquire();

        /** Returns the wait that the server's rate limit imposes, by the number of calls ahead. */
        long rateWaitNanos(int ahead);

        /** Grants the slot just acquired to the call. */
        void grant(QueuedCall call);

        /** Sheds a call; {@code forLoad} is true if a less loaded server would have run it. */
        void shed(QueuedCall call, ShedReason reason, boolean forLoad);
    }

    private final RankTable ranks;
    private final ServiceTimes times;
    private final Decisions decisions;
    private final Queue<QueuedCall> arrivals = new ConcurrentLinkedQueue<>();
    private final RankQueue queue;
    private final FloorCredit credit;
    private final SojournBound sojourn;
    private boolean draining;
    private long nowNanos;

    Dispatcher(
            RankedAdmission.Builder settings,
            RankTable ranks,
            ServiceTimes times,
            Decisions decisions) {
        this.ranks = ranks;
        this.times = times;
        this.decisions = decisions;
        this.queue = new RankQueue(ranks, settings.maxQueued);
        this.credit = new FloorCredit(ranks, times, settings.clock.nanos());
        this.sojourn =
                new SojournBound(ranks.size(), settings.maxQueueNanos, settings.clock.nanos());
    }

    /** Adds a call for the next {@link #run}. Safe for use by several threads. */
    void addArrival(QueuedCall call) {
        arrivals.add(call);
    }

    /**
     * Grants free slots to queued calls and processes new arrivals.
     *
     * @param sweep whether to also shed queued calls that were cancelled, have waited too long or
     *     can no longer complete before their deadline
     * @param drain whether to shed all calls
     */
    void run(long now, boolean sweep, boolean drain) {
        nowNanos = now;
        draining = drain;
        credit.update(queue, nowNanos);
        sojourn.update(queue, now);
        if (sweep) {
            queue.removeIf(
                    call -> call.decided() || shedReason(call) != null, this::shedUnservable);
        }
        grantFreeSlots();
        QueuedCall arrival = arrivals.poll();
        while (arrival != null) {
            place(arrival);
            arrival = arrivals.poll();
        }
        grantFreeSlots();
        sojourn.update(queue, now);
    }

    /** Removes all queued calls without deciding them and passes them to {@code consumer}. */
    void removeAll(Consumer<QueuedCall> consumer) {
        queue.removeIf(call -> true, consumer);
        QueuedCall arrival = arrivals.poll();
        while (arrival != null) {
            consumer.accept(arrival);
            arrival = arrivals.poll();
        }
    }

    private void place(QueuedCall call) {
        if (call.decided() || draining) {
            decisions.shed(call, ShedReason.DRAINING, false);
            return;
        }
        if (queue.size() == 0 && decisions.tryAcquire()) {
            decisions.grant(call);
            return;
        }
        credit.recordDemand(call.rank, nowNanos);
        long serviceNanos = plannedNanos(call);
        long remainingNanos = call.deadlineNanos - nowNanos;
        if (expectedWaitNanos(call.rank) + serviceNanos > remainingNanos) {
            decisions.shed(call, ShedReason.DEADLINE, serviceNanos <= remainingNanos);
            return;
        }
        if (queue.full()) {
            QueuedCall victim = queue.evictFor(call.rank);
            if (victim == null) {
                decisions.shed(call, ShedReason.QUEUE_FULL, true);
                return;
            }
            decisions.shed(victim, ShedReason.EVICTED, true);
        }
        queue.add(call);
    }

    private void grantFreeSlots() {
        while (queue.size() > 0) {
            int rank = nextRank();
            QueuedCall call = queue.peek(rank);
            if (call == null) {
                return;
            }
            if (call.decided() || shedReason(call) != null) {
                queue.poll(rank);
                shedUnservable(call);
                continue;
            }
            if (!decisions.tryAcquire()) {
                return;
            }
            queue.poll(rank);
            decisions.grant(call);
            credit.update(queue, nowNanos);
        }
    }

    /**
     * Returns the rank with queued calls that has the most floor credit, or the most urgent one if
     * none has credit.
     */
    private int nextRank() {
        int mostUrgent = -1;
        int mostCredited = -1;
        double mostCredit = 0;
        for (int rank = 0; rank < ranks.size(); rank++) {
            if (queue.size(rank) == 0) {
                continue;
            }
            mostUrgent = mostUrgent < 0 ? rank : mostUrgent;
            double calls = credit.calls(rank);
            if (calls > mostCredit) {
                mostCredit = calls;
                mostCredited = rank;
            }
        }
        return mostCredited >= 0 ? mostCredited : mostUrgent;
    }

    private void shedUnservable(QueuedCall call) {
        ShedReason reason = shedReason(call);
        decisions.shed(
                call, reason == null ? ShedReason.CANCELLED : reason, reason != null && !draining);
    }

    private @Nullable ShedReason shedReason(QueuedCall call) {
        if (draining) {
            return ShedReason.DRAINING;
        }
        long serviceNanos = plannedNanos(call);
        if (call.deadlineNanos - nowNanos <= serviceNanos) {
            return ShedReason.DEADLINE;
        }
        long minWaitNanos = 2 * floorIntervalNanos(call.rank);
        if (nowNanos - call.arrivedNanos
                > sojourn.maxWaitNanos(call.rank, minWaitNanos, nowNanos)) {
            return ShedReason.QUEUE_TIMEOUT;
        }
        return null;
    }

    private long plannedNanos(QueuedCall call) {
        long allowedNanos = call.deadlineNanos - call.arrivedNanos;
        return times.plannedNanos(call.rank, allowedNanos, nowNanos);
    }

    private long expectedWaitNanos(int rank) {
        long nextSlotNanos = times.meanNanos(rank) / decisions.limit();
        long aheadNanos = 0;
        int ahead = 0;
        for (int index = 0; index <= rank; index++) {
            aheadNanos += queue.size(index) * times.meanNanos(index);
            ahead += queue.size(index);
        }
        long waitByUrgencyNanos =
                Math.max(aheadNanos / decisions.limit(), decisions.rateWaitNanos(ahead));
        if (ranks.floorShare(rank) > 0) {
            double callsUntilFloor = Math.max(0, queue.size(rank) + 1 - credit.calls(rank));
            long waitByFloorNanos = (long) (callsUntilFloor * floorIntervalNanos(rank));
            return nextSlotNanos + Math.min(waitByUrgencyNanos, waitByFloorNanos);
        }
        return nextSlotNanos + waitByUrgencyNanos;
    }

    /**
     * Returns the mean time between two grants of the rank when it gets no more than its floor, 0
     * if it has no floor.
     */
    private long floorIntervalNanos(int rank) {
        double slots = ranks.floorShare(rank) * decisions.limit();
        return slots <= 0 ? 0 : (long) (times.meanNanos(rank) / slots);
    }
}
