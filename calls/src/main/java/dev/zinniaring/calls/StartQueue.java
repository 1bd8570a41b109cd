package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Requests that an event loop has read and not started yet. It answers a burst for which the loop
 * lacks processor time: requests are started in short slices, and between two slices the loop reads
 * what has arrived, so that it knows which callers have left and which answers are ready before it
 * starts more. Must be used on the event loop; does no I/O.
 */
final class StartQueue {
    /** Longest time for which requests are started before the loop reads again. */
    static final long SLICE_NANOS = 5_000_000L;

    private final Clock clock;
    private final Consumer<Runnable> nextRound;
    private final Deque<Entry> waiting = new ArrayDeque<>();
    private LongConsumer waitListener = waitedNanos -> {};
    private boolean scheduled;

    private record Entry(Runnable start, long addedNanos) {}

    /**
     * Creates a queue.
     *
     * @param nextRound runs an action on the event loop once it has read what has arrived
     */
    StartQueue(Clock clock, Consumer<Runnable> nextRound) {
        this.clock = clock;
        this.nextRound = nextRound;
    }

    /** Sets the action that receives how long each request has waited, in nanoseconds. */
    void onStart(LongConsumer action) {
        waitListener = action;
    }

    /** Adds the start of a request. It has to check itself whether the caller is still there. */
    void add(Runnable start) {
        waiting.add(new Entry(start, clock.nanos()));
        schedule();
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            nextRound.accept(this::runSlice);
        }
    }

    private void runSlice() {
        scheduled = false;
        long sliceStartNanos = clock.nanos();
        long nowNanos = sliceStartNanos;
        while (!waiting.isEmpty() && nowNanos - sliceStartNanos < SLICE_NANOS) {
            Entry next = waiting.remove();
            waitListener.accept(nowNanos - next.addedNanos());
            next.start().run();
            nowNanos = clock.nanos();
        }
        if (!waiting.isEmpty()) {
            schedule();
        }
    }
}
