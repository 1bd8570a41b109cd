package dev.zinniaring.admission;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Chooses which waiting call runs next and which ones are shed. All but {@link #arrived} is for one
 * thread at a time.
 */
final class Dispatch {
    /** What the choices lead to. */
    interface Decisions {
        int limit();

        boolean tryAcquire();

        /** Grants the slot just acquired. */
        void grant(Waiting call);

        /** Sheds a call; {@code forLoad} if a less loaded server would have run it. */
        void shed(Waiting call, ShedReason reason, boolean forLoad);
    }

    private final RankTable ranks;
    private final ServiceTimes times;
    private final Decisions decisions;
    private final Queue<Waiting> arrivals = new ConcurrentLinkedQueue<>();
    private final RankQueue queue;
    private final FloorCredit credit;
    private final SojournBound sojourn;
    private boolean draining;
    private long nowNanos;

    Dispatch(
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

    /** Leaves a call for the next run. Safe for use by several threads. */
    void arrived(Waiting call) {
        arrivals.add(call);
    }

    /** Grants free slots and takes up arrivals; with {@code sweep} also sheds hopeless calls. */
    void run(long now, boolean sweep, boolean drain) {
        nowNanos = now;
        draining = drain;
        credit.update(queue, nowNanos);
        sojourn.update(queue, now);
        if (sweep) {
            queue.removeIf(call -> call.decided() || whyHopeless(call) != null, this::shedHopeless);
        }
        grantFreeSlots();
        Waiting arrival = arrivals.poll();
        while (arrival != null) {
            place(arrival);
            arrival = arrivals.poll();
        }
        grantFreeSlots();
        sojourn.update(queue, now);
    }

    /** Gives up every call that waits, without a decision. */
    void handOver(Consumer<Waiting> taker) {
        queue.removeIf(call -> true, taker);
        Waiting arrival = arrivals.poll();
        while (arrival != null) {
            taker.accept(arrival);
            arrival = arrivals.poll();
        }
    }

    private void place(Waiting call) {
        if (call.decided() || draining) {
            decisions.shed(call, ShedReason.DRAINING, false);
            return;
        }
        if (queue.size() == 0 && decisions.tryAcquire()) {
            decisions.grant(call);
            return;
        }
        credit.asked(call.rank, nowNanos);
        long serviceNanos = plannedNanos(call);
        long leftNanos = call.deadlineNanos - nowNanos;
        if (expectedWaitNanos(call.rank) + serviceNanos > leftNanos) {
            decisions.shed(call, ShedReason.DEADLINE, serviceNanos <= leftNanos);
            return;
        }
        if (queue.full()) {
            Waiting victim = queue.evictFor(call.rank);
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
            Waiting call = queue.peek(rank);
            if (call == null) {
                return;
            }
            if (call.decided() || whyHopeless(call) != null) {
                queue.poll(rank);
                shedHopeless(call);
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

    /** Returns the waiting rank with the most floor credit, or else the most urgent one. */
    private int nextRank() {
        int mostUrgent = -1;
        int entitled = -1;
        double mostCalls = 0;
        for (int rank = 0; rank < ranks.size(); rank++) {
            if (queue.size(rank) == 0) {
                continue;
            }
            mostUrgent = mostUrgent < 0 ? rank : mostUrgent;
            double calls = credit.calls(rank);
            if (calls > mostCalls) {
                mostCalls = calls;
                entitled = rank;
            }
        }
        return entitled >= 0 ? entitled : mostUrgent;
    }

    private void shedHopeless(Waiting call) {
        ShedReason reason = whyHopeless(call);
        decisions.shed(
                call, reason == null ? ShedReason.CANCELLED : reason, reason != null && !draining);
    }

    private @Nullable ShedReason whyHopeless(Waiting call) {
        if (draining) {
            return ShedReason.DRAINING;
        }
        long serviceNanos = plannedNanos(call);
        if (call.deadlineNanos - nowNanos <= serviceNanos) {
            return ShedReason.DEADLINE;
        }
        long leastNanos = 2 * floorIntervalNanos(call.rank);
        if (nowNanos - call.arrivedNanos > sojourn.nanos(call.rank, leastNanos, nowNanos)) {
            return ShedReason.QUEUE_TIMEOUT;
        }
        return null;
    }

    private long plannedNanos(Waiting call) {
        long allowedNanos = call.deadlineNanos - call.arrivedNanos;
        return times.plannedNanos(call.rank, allowedNanos, nowNanos);
    }

    private long expectedWaitNanos(int rank) {
        long nextSlotNanos = times.meanNanos(rank) / decisions.limit();
        long aheadNanos = 0;
        for (int index = 0; index <= rank; index++) {
            aheadNanos += queue.size(index) * times.meanNanos(index);
        }
        long byUrgency = aheadNanos / decisions.limit();
        if (ranks.floorShare(rank) > 0) {
            double callsToCome = Math.max(0, queue.size(rank) + 1 - credit.calls(rank));
            long byFloor = (long) (callsToCome * floorIntervalNanos(rank));
            return nextSlotNanos + Math.min(byUrgency, byFloor);
        }
        return nextSlotNanos + byUrgency;
    }

    /** Returns the time between two calls of the rank when it gets no more than its floor. */
    private long floorIntervalNanos(int rank) {
        double slots = ranks.floorShare(rank) * decisions.limit();
        return slots <= 0 ? 0 : (long) (times.meanNanos(rank) / slots);
    }
}
