package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Scheduler;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs tasks sequentially, in the order of posting, on the threads of a scheduler. */
final class Mailbox {
    private static final Logger log = LoggerFactory.getLogger(Mailbox.class);

    private final Scheduler scheduler;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final LongAdder failures = new LongAdder();

    Mailbox(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    void post(Runnable task) {
        tasks.add(task);
        if (waiting.getAndIncrement() == 0) {
            scheduler.execute(this::drain);
        }
    }

    /**
     * Returns how many tasks have thrown an exception. Such exceptions are logged and do not affect
     * later tasks.
     */
    long failures() {
        return failures.sum();
    }

    private void drain() {
        do {
            runNext();
        } while (waiting.decrementAndGet() > 0);
    }

    private void runNext() {
        Runnable task = tasks.poll();
        if (task == null) {
            return;
        }
        try {
            task.run();
        } catch (RuntimeException e) {
            failures.increment();
            log.error("distribution task failed", e);
        }
    }
}
