package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.Scheduler;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs tasks on an event loop, so that they need no locks against calls handled there. */
final class LoopScheduler implements Scheduler {
    private static final Logger log = LoggerFactory.getLogger(LoopScheduler.class);

    private final EventLoop loop;

    LoopScheduler(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public Cancellable after(Duration delay, Runnable task) {
        Future<?> scheduled = loop.schedule(guarded(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }

    @Override
    public Cancellable every(Duration period, Runnable task) {
        Future<?> scheduled =
                loop.scheduleAtFixedRate(
                        guarded(task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }

    @Override
    public void execute(Runnable task) {
        loop.execute(guarded(task));
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                log.error("scheduled task failed", e);
            }
        };
    }
}
