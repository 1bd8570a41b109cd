package dev.zinniaring.transport;

import dev.zinniaring.kernel.NamedThreads;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An event loop: one thread that serves the sockets of one or more networks. */
public final class IoLoop implements AutoCloseable {
    private static final Logger log = LoggerFactory.getLogger(IoLoop.class);
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int MAX_TASKS_PER_ITERATION = 1_024;

    private final Selector selector;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final Thread thread;
    private volatile boolean closed;

    private IoLoop(Selector selector, String name) {
        this.selector = selector;
        this.thread = NamedThreads.daemon(name).newThread(this::run);
    }

    /** Handles the I/O readiness of a channel. */
    @FunctionalInterface
    interface ReadyHandler {
        void onReady(SelectionKey key);
    }

    /**
     * Opens a selector and starts the thread.
     *
     * @param name prefix of the thread's name
     * @throws TransportException if no selector can be opened
     */
    public static IoLoop open(String name) throws TransportException {
        try {
            IoLoop loop = new IoLoop(Selector.open(), name);
            loop.thread.start();
            return loop;
        } catch (IOException e) {
            throw new TransportException("cannot open a selector", e);
        }
    }

    /** Stops the thread. Networks that still use this loop stop working. */
    @Override
    public void close() {
        closed = true;
        selector.wakeup();
    }

    /** Queues a task for the loop's thread. Drops the task if the loop is closed. */
    void execute(Runnable task) {
        if (closed) {
            return;
        }
        tasks.add(task);
        if (!isCurrent()) {
            selector.wakeup();
        }
    }

    boolean isCurrent() {
        return Thread.currentThread() == thread;
    }

    boolean isClosed() {
        return closed;
    }

    /** Registers a channel with the selector. Call on the loop's thread only. */
    SelectionKey register(SelectableChannel channel, int operations, ReadyHandler handler)
            throws ClosedChannelException {
        return channel.register(selector, operations, handler);
    }

    /**
     * Releases the ports of closed channels, which a selector otherwise holds until its next
     * selection. Call on the loop's thread only.
     */
    void releaseClosedChannels() {
        try {
            selector.selectNow(key -> {}); // skipped channels stay ready for the next selection
        } catch (IOException e) {
            log.warn("selectNow failed; ports of closed sockets may still be bound", e);
        }
    }

    /** Returns the shared buffer, cleared. Valid only within one task on the loop's thread. */
    ByteBuffer buffer() {
        return buffer.clear();
    }

    private void run() {
        try {
            while (!closed) {
                select();
                runTasks();
            }
        } finally {
            closed = true; // also after an Error, so that execute() stops queueing tasks
            closeSelector();
        }
    }

    private void select() {
        try {
            selector.select(IoLoop::handle);
        } catch (IOException e) {
            log.error("selector failed; I/O loop stops", e);
            closed = true;
        }
    }

    private void closeSelector() {
        try {
            selector.close();
        } catch (IOException e) {
            log.warn("closing the selector failed", e);
        }
    }

    /** Runs a bounded number of queued tasks, so that a busy queue does not starve socket I/O. */
    private void runTasks() {
        Runnable task = tasks.poll();
        for (int i = 1; task != null && i < MAX_TASKS_PER_ITERATION; i++) {
            runLoggingFailures(task);
            task = tasks.poll();
        }
        if (task != null) {
            runLoggingFailures(task);
        }
        if (!tasks.isEmpty()) {
            selector.wakeup();
        }
    }

    private static void handle(SelectionKey key) {
        runLoggingFailures(
                () -> {
                    if (key.isValid()) {
                        ((ReadyHandler) key.attachment()).onReady(key);
                    }
                });
    }

    private static void runLoggingFailures(Runnable task) {
        try {
            task.run();
        } catch (CancelledKeyException e) {
            log.debug("socket closed while being served", e);
        } catch (RuntimeException e) {
            log.error("I/O task failed", e);
        }
    }
}
