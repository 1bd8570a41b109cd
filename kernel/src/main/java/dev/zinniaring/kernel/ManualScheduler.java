package dev.zinniaring.kernel;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import org.jspecify.annotations.Nullable;

/**
 * A scheduler for tests that runs tasks on the caller's thread and advances a {@link ManualClock}.
 *
 * <pre>{@code
 * scheduler.every(Duration.ofSeconds(1), probe);
 * scheduler.advance(Duration.ofSeconds(3)); // probe has run three times
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class ManualScheduler implements Scheduler {
    private final ManualClock clock;
    private final Queue<Runnable> ready = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(
                    Comparator.<Timer>comparingLong(t -> t.dueNanos).thenComparingLong(t -> t.id));
    private long nextId;

    /** Creates a scheduler that advances {@code clock}. */
    public ManualScheduler(ManualClock clock) {
        this.clock = clock;
    }

    @Override
    public Cancellable after(Duration delay, Runnable task) {
        return add(delay, null, task);
    }

    @Override
    public Cancellable every(Duration period, Runnable task) {
        return add(period, period, task);
    }

    @Override
    public void execute(Runnable task) {
        ready.add(task);
    }

    /** Advances the clock by {@code step} and runs each task when it is due. */
    public void advance(Duration step) {
        long endNanos = clock.nanos() + step.toNanos();
        runReady();
        Timer timer = timers.peek();
        while (timer != null && timer.dueNanos <= endNanos) {
            timers.remove();
            fire(timer);
            runReady();
            timer = timers.peek();
        }
        clock.advance(Duration.ofNanos(endNanos - clock.nanos()));
    }

    /** Runs the tasks passed to {@link #execute}, and any that those tasks pass to it in turn. */
    public void runReady() {
        Runnable task = ready.poll();
        while (task != null) {
            task.run();
            task = ready.poll();
        }
    }

    private Timer add(Duration delay, @Nullable Duration period, Runnable task) {
        Timer timer = new Timer(clock.nanos() + delay.toNanos(), nextId++, period, task);
        timers.add(timer);
        return timer;
    }

    private void fire(Timer timer) {
        if (timer.cancelled) {
            return;
        }
        clock.advance(Duration.ofNanos(Math.max(0, timer.dueNanos - clock.nanos())));
        if (timer.period != null) {
            timer.dueNanos += timer.period.toNanos();
            timers.add(timer);
        }
        timer.task.run();
    }

    private static final class Timer implements Cancellable {
        private long dueNanos;
        private final long id;
        private final @Nullable Duration period;
        private final Runnable task;
        private boolean cancelled;

        Timer(long dueNanos, long id, @Nullable Duration period, Runnable task) {
            this.dueNanos = dueNanos;
            this.id = id;
            this.period = period;
            this.task = task;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }
}
