package dev.zinniaring.membership;

import dev.zinniaring.kernel.Scheduler;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Calls listeners on a scheduler's thread, one change after the other. */
final class Listeners {
    private static final Logger log = LoggerFactory.getLogger(Listeners.class);

    private final Scheduler scheduler;
    private final List<Membership.Listener> listeners = new CopyOnWriteArrayList<>();
    private final Queue<Change> changes = new ArrayDeque<>();
    private boolean running;

    private record Change(MemberView before, MemberView after) {}

    Listeners(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    void add(Membership.Listener listener) {
        listeners.add(listener);
    }

    void changed(MemberView before, MemberView after) {
        synchronized (changes) {
            changes.add(new Change(before, after));
            if (running) {
                return;
            }
            running = true;
        }
        scheduler.execute(this::run);
    }

    private void run() {
        Change change = next();
        while (change != null) {
            for (Membership.Listener listener : listeners) {
                call(listener, change);
            }
            change = next();
        }
    }

    private @Nullable Change next() {
        synchronized (changes) {
            Change change = changes.poll();
            running = change != null;
            return change;
        }
    }

    private static void call(Membership.Listener listener, Change change) {
        try {
            listener.changed(change.before, change.after);
        } catch (RuntimeException e) {
            log.error("listener of member changes failed", e);
        }
    }
}
