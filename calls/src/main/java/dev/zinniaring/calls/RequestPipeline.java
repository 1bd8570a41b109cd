package dev.zinniaring.calls;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Order of the unanswered requests of one HTTP/1.1 connection (RFC 9112, section 9.3.2). Pipelined
 * requests run concurrently, so that a short one does not wait for the run time of those before it;
 * their answers are sent in the order of the requests.
 *
 * <p>A request that must not be repeated starts only when every request before it has been
 * answered: a client sends the requests behind an answer that closes the connection again, whatever
 * their kind, so such a request must not have been started by then. Requests never overtake one
 * that has not started.
 *
 * @param <T> type of the requests
 * @param <A> type of the answers
 */
final class RequestPipeline<T, A> {
    /** Requests of one connection that run at the same time. */
    static final int MAX_RUNNING = 16;

    /** Unanswered requests of one connection beyond which no more are read from it. */
    static final int MAX_READ = 2 * MAX_RUNNING;

    /** Body bytes of unanswered requests of one connection beyond which no more are read. */
    static final long MAX_READ_BYTES = 256L * 1024;

    private final Deque<Entry<T, A>> entries = new ArrayDeque<>();
    private long bytes;
    private int running;
    private boolean ended;

    /** A request from the time it has been read until its answer is sent. */
    static final class Entry<T, A> {
        private final T request;
        private final boolean repeatable;
        private final boolean last;
        private final int bytes;
        private boolean started;
        private @Nullable A answer;

        private Entry(T request, boolean repeatable, boolean last, int bytes) {
            this.request = request;
            this.repeatable = repeatable;
            this.last = last;
            this.bytes = bytes;
        }

        T request() {
            return request;
        }
    }

    /**
     * An answer whose turn it is.
     *
     * @param request the request that it answers
     * @param close whether it is the last answer on the connection
     */
    record Turn<T, A>(T request, A answer, boolean close) {}

    /**
     * Adds a request that has been read in full.
     *
     * @param repeatable whether the request may run again if its answer is not delivered
     * @param last whether the connection closes after its answer
     * @param bodyBytes size of its body
     */
    Entry<T, A> add(T request, boolean repeatable, boolean last, int bodyBytes) {
        Entry<T, A> entry = new Entry<>(request, repeatable, last, bodyBytes);
        entries.add(entry);
        bytes += bodyBytes;
        return entry;
    }

    /** Adds a request that is not run, since it was rejected; its answer closes the connection. */
    void addRejected(T request, A answer) {
        Entry<T, A> entry = add(request, false, true, 0);
        entry.started = true;
        entry.answer = answer;
    }

    /** Marks the next request that may start as started and returns it, or null if none may. */
    @Nullable Entry<T, A> start() {
        Entry<T, A> next = startable();
        if (next != null) {
            next.started = true;
            running++;
        }
        return next;
    }

    /** Returns whether a request may start. */
    boolean mayStart() {
        return startable() != null;
    }

    private @Nullable Entry<T, A> startable() {
        if (ended || running >= MAX_RUNNING) {
            return null;
        }
        Entry<T, A> first = entries.peek();
        for (Entry<T, A> entry : entries) {
            if (!entry.started) {
                return entry == first || entry.repeatable ? entry : null;
            }
        }
        return null;
    }

    /** Records the answer of a request that was started. */
    void answered(Entry<T, A> entry, A answer) {
        running--;
        entry.answer = answer;
    }

    /**
     * Removes and returns the next answer in order, or null if it is not available yet.
     *
     * @param draining whether the connection is to close as soon as no started request is left
     *     behind without its answer
     */
    @Nullable Turn<T, A> next(boolean draining) {
        Entry<T, A> first = entries.peek();
        if (ended || first == null || first.answer == null) {
            return null;
        }
        A answer = first.answer;
        entries.poll();
        bytes -= first.bytes;
        ended = first.last || (draining && !anyStarted());
        return new Turn<>(first.request, answer, ended);
    }

    private boolean anyStarted() {
        Entry<T, A> first = entries.peek();
        return first != null && first.started;
    }

    /** Returns the requests that were started and have no answer yet. */
    List<T> running() {
        return entries.stream()
                .filter(entry -> entry.started && entry.answer == null)
                .map(Entry::request)
                .toList();
    }

    /** Drops all requests; returns those that were started and have no answer yet. */
    List<T> cancel() {
        ended = true;
        List<T> cancelled = running();
        entries.clear();
        bytes = 0;
        return cancelled;
    }

    /** Drops the requests behind an answer that closes the connection; none of them was started. */
    void dropUnstarted() {
        for (Iterator<Entry<T, A>> left = entries.iterator(); left.hasNext(); ) {
            Entry<T, A> entry = left.next();
            if (!entry.started) {
                bytes -= entry.bytes;
                left.remove();
            }
        }
    }

    /** Returns whether further requests should be left unread for now. */
    boolean full() {
        return entries.size() >= MAX_READ || bytes > MAX_READ_BYTES;
    }

    /** Returns the body bytes of the unanswered requests. */
    long bytes() {
        return bytes;
    }

    /** Returns the number of requests without a sent answer. */
    int size() {
        return entries.size();
    }

    /** Returns whether no request is waiting for its answer. */
    boolean isEmpty() {
        return entries.isEmpty();
    }
}
