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
 * Admits calls in the order of their arrival, whatever their rank: the baseline of one bounded
 * queue and a fixed limit.
 */
public final class FifoAdmission implements AdmissionController {
    private static final Ticket NO_TICKET = () -> {};

    private final Clock clock;
    private final int maxQueued;
    private final long maxQueueNanos;
    private final AtomicInteger limit;
    private final SlotCounter slots = new SlotCounter();
    private final Queue<Waiting> arrivals = new ConcurrentLinkedQueue<>();
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final SerialLoop loop = new SerialLoop();
    private final LongAdder granted = new LongAdder();
    private final LongAdder shed = new LongAdder();

    /** Creates a controller with {@code slots}, a bounded queue and a bound on the wait in it. */
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
            return NO_TICKET;
        }
        if (waiting.get() == 0 && slots.tryAcquire(limit.get())) {
            grant(callback);
            return NO_TICKET;
        }
        Waiting entry = new Waiting(call, clock.nanos(), callback);
        waiting.incrementAndGet();
        arrivals.add(entry);
        loop.run(this::dispatch);
        return () -> decide(entry, ShedReason.CANCELLED);
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
        Waiting arrival = arrivals.poll();
        while (arrival != null) {
            if (queue.size() >= maxQueued && (maxQueued > 0 || slots.used() >= limit.get())) {
                waiting.decrementAndGet();
                decide(arrival, ShedReason.QUEUE_FULL);
            } else {
                queue.addLast(arrival);
            }
            arrival = arrivals.poll();
        }
        grantFreeSlots(nowNanos);
    }

    private void grantFreeSlots(long nowNanos) {
        while (!queue.isEmpty()) {
            ShedReason reason = whyHopeless(queue.getFirst(), nowNanos);
            if (reason != null) {
                waiting.decrementAndGet();
                decide(queue.removeFirst(), reason);
                continue;
            }
            if (!slots.tryAcquire(limit.get())) {
                return;
            }
            waiting.decrementAndGet();
            Waiting call = queue.removeFirst();
            if (call.decide()) {
                grant(call.callback);
            } else {
                slots.release();
            }
        }
    }

    private @Nullable ShedReason whyHopeless(Waiting call, long nowNanos) {
        if (draining.get()) {
            return ShedReason.DRAINING;
        }
        if (nowNanos - call.deadlineNanos >= 0) {
            return ShedReason.DEADLINE;
        }
        return nowNanos - call.arrivedNanos > maxQueueNanos ? ShedReason.QUEUE_TIMEOUT : null;
    }

    private void decide(Waiting call, ShedReason reason) {
        if (call.decide()) {
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
