package dev.zinniaring.kernel;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import org.jspecify.annotations.Nullable;

/**
 * A scheduler that runs tasks on the caller's thread while a {@link ManualClock} is moved, for
 * tests.
 *
 * <pre>{@code
 * scheduler.every(Duration.ofSeconds(1), probe);
 * scheduler.advance(Duration.ofSeconds(3)); // probe has run three times
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class ManualScheduler implements Scheduler {
    private final ManualClock clock;
    private final Queue<Runnable> ready = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(
                    Comparator.<Timer>comparingLong(t -> t.dueNanos).thenComparingLong(t -> t.id));
    private long nextId;

    /** Creates a scheduler that moves {@code clock}. */
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

    /** Moves the clock by {@code step}, running each task at the time at which it falls due. */
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

    /** Runs the tasks that were given to {@link #execute}, and those that they add. */
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
