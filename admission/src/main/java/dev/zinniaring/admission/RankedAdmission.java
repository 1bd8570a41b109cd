package dev.zinniaring.admission;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.RateLimit;
import dev.zinniaring.model.Rank;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/**
 * Admits calls by rank. A call gets a free slot immediately; without one, calls are queued by
 * urgency. Each rank keeps its floor, the guaranteed share of the slot time, and the least urgent
 * calls are shed first.
 *
 * <pre>{@code
 * AdmissionController admission =
 *         RankedAdmission.builder().slots(6).connections(130).ranks(ranks).build();
 * }</pre>
 *
 * <p>Slots are acquired by compare-and-set. Only one thread at a time changes the queue, without
 * locks: if another thread is already processing the queue, that thread also handles the new call.
 */
public final class RankedAdmission implements AdmissionController {
    private static final Ticket DECIDED_TICKET = () -> {};

    private final Clock clock;
    private final RankTable ranks;
    private final SlotCounter slots;
    private final RateLimit rate;
    private final GradientLimit limit;
    private final ServiceTimes times;
    private final ShedHistory shedHistory;
    private final LongAdder granted = new LongAdder();
    private final LongAdder shed = new LongAdder();
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicBoolean sweepRequested = new AtomicBoolean();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final SerialLoop loop = new SerialLoop();
    private final Dispatcher dispatcher;
    private final Runnable dispatchStep;
    private final int connections;
    private volatile @Nullable RankedAdmission successor;

    private RankedAdmission(Builder builder) {
        this.clock = builder.clock;
        this.ranks = new RankTable(builder.ranks);
        this.connections = builder.connections;
        RankedAdmission predecessor = builder.predecessor;
        this.slots = predecessor == null ? new SlotCounter() : predecessor.slots;
        this.rate = predecessor == null ? new RateLimit(clock) : predecessor.rate;
        long nowNanos = clock.nanos();
        this.limit = new GradientLimit(ranks.size(), usableSlots(builder.slots), nowNanos);
        this.times = new ServiceTimes(ranks.size());
        this.shedHistory = new ShedHistory(ranks, nowNanos);
        this.dispatcher = new Dispatcher(builder, ranks, times, new Decisions());
        this.dispatchStep = this::dispatch;
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public Ticket admit(CallInfo call, AdmissionCallback callback) {
        RankedAdmission next = successor;
        if (next != null) {
            return next.admit(call, callback);
        }
        int rank = ranks.indexOf(call.rankOrder());
        long nowNanos = clock.nanos();
        if (draining.get()) {
            shed(callback, ShedReason.DRAINING);
            return DECIDED_TICKET;
        }
        if (call.deadlineNanos() - nowNanos <= 0) {
            shed(callback, ShedReason.DEADLINE);
            return DECIDED_TICKET;
        }
        if (waiting.get() == 0 && tryAcquire()) {
            grant(rank, callback);
            return DECIDED_TICKET;
        }
        QueuedCall entry = new QueuedCall(call, nowNanos, callback);
        enqueue(entry);
        return () -> cancel(entry);
    }

    @Override
    public int pressure() {
        return shedHistory.pressure(clock.nanos());
    }

    @Override
    public void resize(int newSlots) {
        if (newSlots < 1) {
            throw new IllegalArgumentException("slots must be at least 1, was " + newSlots);
        }
        limit.resize(usableSlots(newSlots));
        loop.run(dispatchStep);
    }

    @Override
    public void drain() {
        draining.set(true);
        expire();
    }

    @Override
    public void expire() {
        sweepRequested.set(true);
        loop.run(dispatchStep);
    }

    @Override
    public AdmissionState state() {
        return new AdmissionState(
                slots.used(),
                waiting.get(),
                limit.value(),
                limit.slots(),
                pressure(),
                granted.sum(),
                shed.sum(),
                draining.get());
    }

    @Override
    public void limitRate(double perSecond) {
        if (rate.perSecond() != perSecond) {
            rate.set(perSecond);
            loop.run(dispatchStep);
        }
    }

    private boolean tryAcquire() {
        if (rate.waitNanos(0) > 0 || !slots.tryAcquire(limit.value())) {
            return false;
        }
        if (rate.tryTake()) {
            return true;
        }
        slots.release();
        return false;
    }

    private int usableSlots(int declaredSlots) {
        return Math.min(declaredSlots, connections);
    }

    private void cancel(QueuedCall call) {
        if (call.tryDecide()) {
            shed(call.callback, ShedReason.CANCELLED);
            expire();
        }
    }

    private void enqueue(QueuedCall call) {
        call.rank = ranks.indexOf(call.rankOrder);
        waiting.incrementAndGet();
        dispatcher.addArrival(call);
        loop.run(dispatchStep);
    }

    private void dispatch() {
        RankedAdmission next = successor;
        if (next != null) {
            dispatcher.removeAll(
                    call -> {
                        waiting.decrementAndGet();
                        next.enqueue(call);
                    });
            return;
        }
        dispatcher.run(clock.nanos(), sweepRequested.getAndSet(false), draining.get());
    }

    private void grant(int rank, AdmissionCallback callback) {
        granted.increment();
        SlotPermit permit = new SlotPermit(rank, times.meanNanos(rank));
        times.charge(rank, permit.chargedNanos);
        try {
            callback.granted(permit);
        } catch (RuntimeException e) {
            permit.release(RunOutcome.CANCELLED, 0);
            throw e;
        }
    }

    private void shed(AdmissionCallback callback, ShedReason reason) {
        shed.increment();
        callback.shed(reason);
    }

    private void released(SlotPermit permit, RunOutcome outcome, long latencyNanos) {
        long nowNanos = clock.nanos();
        times.charge(permit.rank, latencyNanos - permit.chargedNanos);
        if (outcome == RunOutcome.COMPLETED) {
            times.addSample(permit.rank, latencyNanos, nowNanos);
            limit.completed(permit.rank, latencyNanos, nowNanos);
        } else if (outcome == RunOutcome.OVERLOADED) {
            limit.overloaded(nowNanos);
        }
        slots.release();
        slotFreed();
    }

    private void slotFreed() {
        RankedAdmission next = successor;
        if (next != null) {
            next.slotFreed();
        } else if (waiting.get() > 0) {
            loop.run(dispatchStep);
        }
    }

    private void handOverTo(RankedAdmission next) {
        successor = next;
        loop.run(dispatchStep);
    }

    /** Applies the decisions on queued calls to the slots, counters and callbacks. */
    private final class Decisions implements Dispatcher.Decisions {
        @Override
        public int limit() {
            return limit.value();
        }

        @Override
        public boolean tryAcquire() {
            return RankedAdmission.this.tryAcquire();
        }

        @Override
        public long rateWaitNanos(int ahead) {
            return rate.waitNanos(ahead);
        }

        @Override
        public void grant(QueuedCall call) {
            waiting.decrementAndGet();
            if (call.tryDecide()) {
                RankedAdmission.this.grant(call.rank, call.callback);
            } else {
                slots.release();
            }
        }

        @Override
        public void shed(QueuedCall call, ShedReason reason, boolean forLoad) {
            waiting.decrementAndGet();
            if (call.tryDecide()) {
                if (forLoad) {
                    shedHistory.record(call.rank, clock.nanos());
                }
                RankedAdmission.this.shed(call.callback, reason);
            }
        }
    }

    private final class SlotPermit implements Permit {
        private final int rank;
        private final long chargedNanos;
        private final AtomicBoolean released = new AtomicBoolean();

        SlotPermit(int rank, long chargedNanos) {
            this.rank = rank;
            this.chargedNanos = chargedNanos;
        }

        @Override
        public void release(RunOutcome outcome, long latencyNanos) {
            if (released.compareAndSet(false, true)) {
                released(this, outcome, latencyNanos);
            }
        }
    }

    /** Builds a {@link RankedAdmission}. */
    public static final class Builder {
        private static final Rank ONLY_RANK = new Rank("default", 0, 1, 0);

        Clock clock = Clock.system();
        Collection<Rank> ranks = List.of(ONLY_RANK);
        @Nullable RankedAdmission predecessor;
        int slots = 1;
        int connections = Integer.MAX_VALUE;
        int maxQueued = 100;
        long maxQueueNanos = TimeUnit.MILLISECONDS.toNanos(1_000);

        private Builder() {}

        /** Sets the clock; the system clock by default. */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /** Sets the ranks of the active configuration; a single one by default. */
        public Builder ranks(Collection<Rank> value) {
            this.ranks = List.copyOf(value);
            return this;
        }

        /** Sets how many calls the backend server runs at once, at least 1. */
        public Builder slots(int value) {
            this.slots = atLeast(1, value, "slots");
            return this;
        }

        /** Sets how many connections the backend server accepts, at least 1. */
        public Builder connections(int value) {
            this.connections = atLeast(1, value, "connections");
            return this;
        }

        /** Sets how many calls may wait in the queue, at least 0. */
        public Builder maxQueued(int value) {
            this.maxQueued = atLeast(0, value, "maxQueued");
            return this;
        }

        /** Sets how long a call may wait in the queue in milliseconds, at least 0. */
        public Builder maxQueueMillis(int value) {
            this.maxQueueNanos = TimeUnit.MILLISECONDS.toNanos(atLeast(0, value, "maxQueueMillis"));
            return this;
        }

        /**
         * Makes the new controller take over the queue and the used slots of an existing controller
         * of the same backend server, which forwards all further calls to it. Used when ranks or
         * bounds change.
         */
        public Builder replacing(RankedAdmission value) {
            this.predecessor = value;
            return this;
        }

        /** Returns a new controller. */
        public RankedAdmission build() {
            RankedAdmission admission = new RankedAdmission(this);
            if (predecessor != null) {
                predecessor.handOverTo(admission);
            }
            return admission;
        }

        private static int atLeast(int least, int value, String name) {
            if (value < least) {
                throw new IllegalArgumentException(
                        name + " must be at least " + least + ", was " + value);
            }
            return value;
        }
    }
}
