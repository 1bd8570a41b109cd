package dev.zinniaring.admission;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.Rank;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/**
 * Admits calls by rank: a free slot is taken at once; when there is none, calls wait by urgency,
 * each rank keeps its floor, and the least urgent calls are shed first.
 *
 * <pre>{@code
 * AdmissionController admission =
 *         RankedAdmission.builder().slots(6).connections(130).ranks(ranks).build();
 * }</pre>
 *
 * <p>Slots are taken by compare-and-set. The queue is changed by one thread at a time, without
 * locks: a thread that finds another one at work leaves its call to it.
 */
public final class RankedAdmission implements AdmissionController {
    private static final Ticket NO_TICKET = () -> {};

    private final Clock clock;
    private final RankTable ranks;
    private final SlotCounter slots;
    private final GradientLimit limit;
    private final ServiceTimes times;
    private final ShedHistory sheds;
    private final LongAdder granted = new LongAdder();
    private final LongAdder shed = new LongAdder();
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicBoolean sweepWanted = new AtomicBoolean();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final SerialLoop loop = new SerialLoop();
    private final Dispatch dispatch;
    private final Runnable dispatchStep;
    private final int connections;
    private volatile @Nullable RankedAdmission successor;

    private RankedAdmission(Builder builder) {
        this.clock = builder.clock;
        this.ranks = new RankTable(builder.ranks);
        this.connections = builder.connections;
        RankedAdmission predecessor = builder.predecessor;
        this.slots = predecessor == null ? new SlotCounter() : predecessor.slots;
        long nowNanos = clock.nanos();
        this.limit = new GradientLimit(ranks.size(), usable(builder.slots), nowNanos);
        this.times = new ServiceTimes(ranks.size());
        this.sheds = new ShedHistory(ranks, nowNanos);
        this.dispatch = new Dispatch(builder, ranks, times, new Decisions());
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
            return NO_TICKET;
        }
        if (call.deadlineNanos() - nowNanos <= 0) {
            shed(callback, ShedReason.DEADLINE);
            return NO_TICKET;
        }
        if (waiting.get() == 0 && slots.tryAcquire(limit.value())) {
            grant(rank, callback);
            return NO_TICKET;
        }
        Waiting entry = new Waiting(call, nowNanos, callback);
        queue(entry);
        return () -> cancel(entry);
    }

    @Override
    public int pressure() {
        return sheds.pressure(clock.nanos());
    }

    @Override
    public void resize(int newSlots) {
        if (newSlots < 1) {
            throw new IllegalArgumentException("slots must be at least 1, was " + newSlots);
        }
        limit.resize(usable(newSlots));
        loop.run(dispatchStep);
    }

    @Override
    public void drain() {
        draining.set(true);
        expire();
    }

    @Override
    public void expire() {
        sweepWanted.set(true);
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

    private int usable(int declaredSlots) {
        return Math.min(declaredSlots, connections);
    }

    private void cancel(Waiting call) {
        if (call.decide()) {
            shed(call.callback, ShedReason.CANCELLED);
            expire();
        }
    }

    private void queue(Waiting call) {
        call.rank = ranks.indexOf(call.rankOrder);
        waiting.incrementAndGet();
        dispatch.arrived(call);
        loop.run(dispatchStep);
    }

    private void dispatch() {
        RankedAdmission next = successor;
        if (next != null) {
            dispatch.handOver(
                    call -> {
                        waiting.decrementAndGet();
                        next.queue(call);
                    });
            return;
        }
        dispatch.run(clock.nanos(), sweepWanted.getAndSet(false), draining.get());
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
            times.sample(permit.rank, latencyNanos, nowNanos);
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

    /** Carries out what the dispatch of the queue decides. */
    private final class Decisions implements Dispatch.Decisions {
        @Override
        public int limit() {
            return limit.value();
        }

        @Override
        public boolean tryAcquire() {
            return slots.tryAcquire(limit.value());
        }

        @Override
        public void grant(Waiting call) {
            waiting.decrementAndGet();
            if (call.decide()) {
                RankedAdmission.this.grant(call.rank, call.callback);
            } else {
                slots.release();
            }
        }

        @Override
        public void shed(Waiting call, ShedReason reason, boolean forLoad) {
            waiting.decrementAndGet();
            if (call.decide()) {
                if (forLoad) {
                    sheds.shed(call.rank, clock.nanos());
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

    /** Sets up a {@link RankedAdmission}. */
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

        /** Sets the clock; the system's by default. */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /** Sets the ranks of the tables in force; a single one by default. */
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

        /** Sets how many calls may wait, at least 0. */
        public Builder maxQueued(int value) {
            this.maxQueued = atLeast(0, value, "maxQueued");
            return this;
        }

        /** Sets how long a call may wait in milliseconds, at least 0. */
        public Builder maxQueueMillis(int value) {
            this.maxQueueNanos = TimeUnit.MILLISECONDS.toNanos(atLeast(0, value, "maxQueueMillis"));
            return this;
        }

        /**
         * Takes over the queue and the slots in use of a controller of the same backend server,
         * which passes all further calls on. For a change of ranks or bounds.
         */
        public Builder replacing(RankedAdmission value) {
            this.predecessor = value;
            return this;
        }

        /** Returns the controller. */
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
