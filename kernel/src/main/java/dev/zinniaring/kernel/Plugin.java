package dev.zinniaring.kernel;

import java.time.Duration;

/**
 * A subsystem of a process with its own life cycle. Plug-ins are collected by dependency injection;
 * the {@link Kernel} starts them by ascending {@link #order()} and drains and stops them in reverse
 * order.
 */
public interface Plugin {
    /** Returns the name of the subsystem in the state dump, in lower case. */
    String name();

    /** Returns the position in the start order; a lower one starts earlier and stops later. */
    int order();

    /**
     * Starts the subsystem and returns once it is ready for use.
     *
     * @throws KernelException if it cannot start; the kernel then stops the plug-ins already
     *     started
     */
    void start() throws KernelException;

    /** Stops accepting new work and waits up to {@code limit} for work in flight. */
    default void drain(Duration limit) {}

    /** Releases threads, sockets and timers. Does nothing if called again. */
    void stop();

    /** Returns the subsystem's state as a record, map or list that Jackson can serialize. */
    Object state();
}
