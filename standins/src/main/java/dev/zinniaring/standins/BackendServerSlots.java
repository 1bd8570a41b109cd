package dev.zinniaring.standins;

import dev.zinniaring.kernel.ExecutorScheduler;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** The slots of a fake backend server: work beyond them waits in the order of its arrival. */
final class BackendServerSlots {
    private final ExecutorScheduler scheduler;
    private final int slots;
    private final Queue<Work> waiting = new ArrayDeque<>();
    private int busy;

    BackendServerSlots(ExecutorScheduler scheduler, int slots) {
        this.scheduler = scheduler;
        this.slots = slots;
    }

    /** Returns a future that completes when a slot has been held for the given time. */
    CompletableFuture<Boolean> work(long micros) {
        Work work = new Work(micros, new CompletableFuture<>());
        if (!takeSlotOrQueue(work)) {
            return work.done;
        }
        run(work);
        return work.done;
    }

    /** Returns the work that runs or waits. */
    synchronized int outstanding() {
        return busy + waiting.size();
    }

    private synchronized boolean takeSlotOrQueue(Work work) {
        if (busy < slots) {
            busy++;
            return true;
        }
        waiting.add(work);
        return false;
    }

    private void run(Work work) {
        if (work.micros <= 0) {
            finish(work);
            return;
        }
        scheduler.after(Duration.ofNanos(work.micros * 1_000), () -> finish(work));
    }

    private void finish(Work work) {
        Work next = nextOrFree();
        if (next != null) {
            scheduler.execute(() -> run(next));
        }
        work.done.complete(true);
    }

    private synchronized @Nullable Work nextOrFree() {
        Work next = waiting.poll();
        if (next == null) {
            busy--;
        }
        return next;
    }

    private record Work(long micros, CompletableFuture<Boolean> done) {}
}
