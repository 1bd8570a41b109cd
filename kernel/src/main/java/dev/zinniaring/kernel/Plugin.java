package dev.zinniaring.kernel;

import java.time.Duration;

/**
 * A subsystem of a process. Plug-ins are collected by dependency injection; the {@link Kernel}
 * starts them by ascending {@link #order()} and drains and stops them in reverse.
 */
public interface Plugin {
    /** Returns the name under which the subsystem appears in the state dump, in lower case. */
    String name();

    /** Returns the position in the start order: lower starts earlier and stops later. */
    int order();

    /**
     * Starts the subsystem and returns once it can be used.
     *
     * @throws KernelException if it cannot start; the kernel then stops what it had started
     */
    void start() throws KernelException;

    /** Takes no new work and waits up to {@code limit} for what is in flight. */
    default void drain(Duration limit) {}

    /** Releases threads, sockets and timers. Does nothing if called again. */
    void stop();

    /** Returns the subsystem's state as a record, map or list that Jackson can write. */
    Object state();
}
