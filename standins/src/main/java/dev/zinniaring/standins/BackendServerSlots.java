package dev.zinniaring.standins;

import dev.zinniaring.kernel.ExecutorScheduler;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** The slots of a fake backend server. Tasks that find no free slot wait in a FIFO queue. */
final class BackendServerSlots {
    private final ExecutorScheduler scheduler;
    private final int slots;
    private final Queue<Task> waiting = new ArrayDeque<>();
    private int busy;

    BackendServerSlots(ExecutorScheduler scheduler, int slots) {
        this.scheduler = scheduler;
        this.slots = slots;
    }

    /** Occupies a slot for the given time, once one is free; the future completes afterwards. */
    CompletableFuture<Boolean> occupy(long micros) {
        Task task = new Task(micros, new CompletableFuture<>());
        if (!takeSlotOrQueue(task)) {
            return task.done;
        }
        run(task);
        return task.done;
    }

    /** Returns the number of tasks that are running or waiting. */
    synchronized int outstanding() {
        return busy + waiting.size();
    }

    private synchronized boolean takeSlotOrQueue(Task task) {
        if (busy < slots) {
            busy++;
            return true;
        }
        waiting.add(task);
        return false;
    }

    private void run(Task task) {
        if (task.micros <= 0) {
            finish(task);
            return;
        }
        scheduler.after(Duration.ofNanos(task.micros * 1_000), () -> finish(task));
    }

    private void finish(Task task) {
        Task next = pollOrReleaseSlot();
        if (next != null) {
            scheduler.execute(() -> run(next));
        }
        task.done.complete(true);
    }

    private synchronized @Nullable Task pollOrReleaseSlot() {
        Task next = waiting.poll();
        if (next == null) {
            busy--;
        }
        return next;
    }

    private record Task(long micros, CompletableFuture<Boolean> done) {}
}
