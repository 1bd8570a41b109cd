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

/** One thread that serves the sockets of one or several networks. */
public final class IoLoop implements AutoCloseable {
    private static final Logger log = LoggerFactory.getLogger(IoLoop.class);
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int TASKS_PER_TURN = 1_024;

    private final Selector selector;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final Thread thread;
    private volatile boolean closed;

    private IoLoop(Selector selector, String name) {
        this.selector = selector;
        this.thread = NamedThreads.daemon(name).newThread(this::run);
    }

    /** Handles a socket that is ready. */
    @FunctionalInterface
    interface Ready {
        void ready(SelectionKey key);
    }

    /**
     * Starts a loop.
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

    /** Ends the thread; networks that still use it stop working. */
    @Override
    public void close() {
        closed = true;
        selector.wakeup();
    }

    /** Runs a task on the loop's thread, after those given earlier; drops it once closed. */
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

    /** Watches a channel. To be called on the loop's thread. */
    SelectionKey register(SelectableChannel channel, int operations, Ready handler)
            throws ClosedChannelException {
        return channel.register(selector, operations, handler);
    }

    /**
     * Releases the ports of closed channels, which a selector otherwise holds until it next
     * selects. To be called on the loop's thread.
     */
    void releaseClosed() {
        try {
            selector.selectNow(key -> {}); // what is ready stays ready for the next selection
        } catch (IOException e) {
            log.warn("closed sockets were not released", e);
        }
    }

    /** Returns an empty buffer for use within one task on the loop's thread. */
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
            closed = true; // also after an Error, so that tasks do not pile up
            closeSelector();
        }
    }

    private void select() {
        try {
            selector.select(IoLoop::handle);
        } catch (IOException e) {
            log.error("selector failed", e);
            closed = true;
        }
    }

    private void closeSelector() {
        try {
            selector.close();
        } catch (IOException e) {
            log.warn("selector did not close", e);
        }
    }

    /** Runs a bounded number of tasks, so that sockets have their turn in between. */
    private void runTasks() {
        Runnable task = tasks.poll();
        for (int i = 1; task != null && i < TASKS_PER_TURN; i++) {
            guarded(task);
            task = tasks.poll();
        }
        if (task != null) {
            guarded(task);
        }
        if (!tasks.isEmpty()) {
            selector.wakeup();
        }
    }

    private static void handle(SelectionKey key) {
        guarded(
                () -> {
                    if (key.isValid()) {
                        ((Ready) key.attachment()).ready(key);
                    }
                });
    }

    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (CancelledKeyException e) {
            log.debug("socket closed while being served", e);
        } catch (RuntimeException e) {
            log.error("I/O task failed", e);
        }
    }
}
