package dev.zinniaring.admission;

import dev.zinniaring.kernel.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/**
 * Admits calls in order of arrival, regardless of rank, with one bounded queue and a fixed limit. A
 * baseline for comparison with {@link RankedAdmission}.
 */
public final class FifoAdmission implements AdmissionController {
    private static final Ticket DECIDED_TICKET = () -> {};

    private final Clock clock;
    private final int maxQueued;
    private final long maxQueueNanos;
    private final AtomicInteger limit;
    private final SlotCounter slots = new SlotCounter();
    private final Queue<QueuedCall> arrivals = new ConcurrentLinkedQueue<>();
    private final Deque<QueuedCall> queue = new ArrayDeque<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final SerialLoop loop = new SerialLoop();
    private final LongAdder granted = new LongAdder();
    private final LongAdder shed = new LongAdder();

    /**
     * Creates a controller.
     *
     * @param slots calls that may run at once
     * @param maxQueued calls that may wait in the queue
     * @param maxQueueMillis longest time that a call may wait in the queue
     */
    public FifoAdmission(Clock clock, int slots, int maxQueued, int maxQueueMillis) {
        this.clock = clock;
        this.limit = new AtomicInteger(slots);
        this.maxQueued = maxQueued;
        this.maxQueueNanos = TimeUnit.MILLISECONDS.toNanos(maxQueueMillis);
    }

    @Override
    public Ticket admit(CallInfo call, AdmissionCallback callback) {
        if (draining.get()) {
            shed(callback, ShedReason.DRAINING);
            return DECIDED_TICKET;
        }
        if (waiting.get() == 0 && slots.tryAcquire(limit.get())) {
            grant(callback);
            return DECIDED_TICKET;
        }
        QueuedCall entry = new QueuedCall(call, clock.nanos(), callback);
        waiting.incrementAndGet();
        arrivals.add(entry);
        loop.run(this::dispatch);
        return () -> shedIfUndecided(entry, ShedReason.CANCELLED);
    }

    @Override
    public int pressure() {
        return NO_PRESSURE;
    }

    @Override
    public void resize(int newSlots) {
        limit.set(newSlots);
        loop.run(this::dispatch);
    }

    @Override
    public void drain() {
        draining.set(true);
        loop.run(this::dispatch);
    }

    @Override
    public void expire() {
        loop.run(this::dispatch);
    }

    @Override
    public AdmissionState state() {
        return new AdmissionState(
                slots.used(),
                waiting.get(),
                limit.get(),
                limit.get(),
                pressure(),
                granted.sum(),
                shed.sum(),
                draining.get());
    }

    private void dispatch() {
        long nowNanos = clock.nanos();
        grantFreeSlots(nowNanos);
        QueuedCall arrival = arrivals.poll();
        while (arrival != null) {
            if (queue.size() >= maxQueued && (maxQueued > 0 || slots.used() >= limit.get())) {
                waiting.decrementAndGet();
                shedIfUndecided(arrival, ShedReason.QUEUE_FULL);
            } else {
                queue.addLast(arrival);
            }
            arrival = arrivals.poll();
        }
        grantFreeSlots(nowNanos);
    }

    private void grantFreeSlots(long nowNanos) {
        while (!queue.isEmpty()) {
            ShedReason reason = shedReason(queue.getFirst(), nowNanos);
            if (reason != null) {
                waiting.decrementAndGet();
                shedIfUndecided(queue.removeFirst(), reason);
                continue;
            }
            if (!slots.tryAcquire(limit.get())) {
                return;
            }
            waiting.decrementAndGet();
            QueuedCall call = queue.removeFirst();
            if (call.tryDecide()) {
                grant(call.callback);
            } else {
                slots.release();
            }
        }
    }

    private @Nullable ShedReason shedReason(QueuedCall call, long nowNanos) {
        if (draining.get()) {
            return ShedReason.DRAINING;
        }
        if (nowNanos - call.deadlineNanos >= 0) {
            return ShedReason.DEADLINE;
        }
        return nowNanos - call.arrivedNanos > maxQueueNanos ? ShedReason.QUEUE_TIMEOUT : null;
    }

    private void shedIfUndecided(QueuedCall call, ShedReason reason) {
        if (call.tryDecide()) {
            shed(call.callback, reason);
        }
    }

    private void shed(AdmissionCallback callback, ShedReason reason) {
        shed.increment();
        callback.shed(reason);
    }

    private void grant(AdmissionCallback callback) {
        granted.increment();
        AtomicBoolean released = new AtomicBoolean();
        Permit permit =
                (outcome, latencyNanos) -> {
                    if (released.compareAndSet(false, true)) {
                        slots.release();
                        loop.run(this::dispatch);
                    }
                };
        try {
            callback.granted(permit);
        } catch (RuntimeException e) {
            permit.release(RunOutcome.CANCELLED, 0);
            throw e;
        }
    }
}
