package dev.zinniaring.kernel;

import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A scheduler backed by a fixed-size pool of daemon threads. */
public final class ExecutorScheduler implements Scheduler, AutoCloseable {
    private static final Logger log = LoggerFactory.getLogger(ExecutorScheduler.class);

    private final ScheduledThreadPoolExecutor executor;

    /**
     * Creates a scheduler with its thread pool.
     *
     * @param name prefix of the thread names
     * @param threads number of threads, at least 1
     */
    public ExecutorScheduler(String name, int threads) {
        if (threads < 1) {
            throw new IllegalArgumentException("threads must be at least 1, was " + threads);
        }
        executor = new ScheduledThreadPoolExecutor(threads, NamedThreads.daemon(name));
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public Cancellable after(Duration delay, Runnable task) {
        try {
            return cancellable(
                    executor.schedule(
                            loggingFailures(task), delay.toNanos(), TimeUnit.NANOSECONDS));
        } catch (RejectedExecutionException e) {
            return () -> {};
        }
    }

    @Override
    public Cancellable every(Duration period, Runnable task) {
        long periodNanos = period.toNanos();
        return cancellable(
                executor.scheduleWithFixedDelay(
                        loggingFailures(task), periodNanos, periodNanos, TimeUnit.NANOSECONDS));
    }

    @Override
    public void execute(Runnable task) {
        try {
            executor.execute(loggingFailures(task));
        } catch (RejectedExecutionException e) {
            log.debug("task dropped because the scheduler is closed");
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static Cancellable cancellable(Future<?> future) {
        return () -> future.cancel(false);
    }

    private static Runnable loggingFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                log.error("scheduled task failed", e);
            }
        };
    }
}
