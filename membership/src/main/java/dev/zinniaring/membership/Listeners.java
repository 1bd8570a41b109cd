package dev.zinniaring.membership;

import dev.zinniaring.kernel.Scheduler;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Notifies listeners of changes on a scheduler thread, one change at a time and in order. */
final class Listeners {
    private static final Logger log = LoggerFactory.getLogger(Listeners.class);

    private final Scheduler scheduler;
    private final List<Membership.Listener> listeners = new CopyOnWriteArrayList<>();
    private final Queue<Change> changes = new ArrayDeque<>();
    private boolean dispatching;

    private record Change(MemberView before, MemberView after) {}

    Listeners(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    void add(Membership.Listener listener) {
        listeners.add(listener);
    }

    void notifyChanged(MemberView before, MemberView after) {
        synchronized (changes) {
            changes.add(new Change(before, after));
            if (dispatching) {
                return;
            }
            dispatching = true;
        }
        scheduler.execute(this::dispatch);
    }

    private void dispatch() {
        Change change = next();
        while (change != null) {
            for (Membership.Listener listener : listeners) {
                invoke(listener, change);
            }
            change = next();
        }
    }

    private @Nullable Change next() {
        synchronized (changes) {
            Change change = changes.poll();
            dispatching = change != null;
            return change;
        }
    }

    private static void invoke(Membership.Listener listener, Change change) {
        try {
            listener.onChange(change.before, change.after);
        } catch (RuntimeException e) {
            log.error("membership listener threw an exception", e);
        }
    }
}
