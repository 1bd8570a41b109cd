package dev.zinniaring.kernel;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/** Creates thread factories that name threads after their subsystem, for thread dumps. */
public final class NamedThreads {
    private NamedThreads() {}

    /** Returns a factory of daemon threads named {@code prefix-1}, {@code prefix-2} and so on. */
    public static ThreadFactory daemon(String prefix) {
        AtomicInteger next = new AtomicInteger(1);
        return task -> {
            Thread thread = new Thread(task, prefix + "-" + next.getAndIncrement());
            thread.setDaemon(true);
            return thread;
        };
    }
}
