package dev.zinniaring.calls;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * A request that a listener has read in full, and its answer. All methods must be called on the
 * event loop of the connection.
 */
public final class Exchange {
    private final String method;
    private final String target;
    private final HttpHeaders headers;
    private final byte[] body;
    private final long arrivedNanos;
    private final Consumer<Answer> answers;
    private final List<Runnable> cancellations = new ArrayList<>(1);
    private boolean answered;
    private boolean cancelled;

    /**
     * Creates an exchange.
     *
     * @param arrivedNanos clock reading when the request head had been read, in nanoseconds
     * @param answers receives the answer, at most once
     */
    public Exchange(
            String method,
            String target,
            HttpHeaders headers,
            byte[] body,
            long arrivedNanos,
            Consumer<Answer> answers) {
        this.method = method;
        this.target = target;
        this.headers = headers;
        this.body = body;
        this.arrivedNanos = arrivedNanos;
        this.answers = answers;
    }

    /** Creates the exchange of a request that was rejected before it had been read. */
    static Exchange unread(long arrivedNanos) {
        return new Exchange(
                "", "", EmptyHttpHeaders.INSTANCE, new byte[0], arrivedNanos, answer -> {});
    }

    /** Returns the HTTP method. */
    public String method() {
        return method;
    }

    /** Returns the request target: path and query as received. */
    public String target() {
        return target;
    }

    /** Returns the path without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the host in lower case and without the port; empty if there is no Host header. */
    public String host() {
        String host = headers.get("Host");
        if (host == null) {
            return "";
        }
        int port = host.lastIndexOf(':');
        String name = port < 0 ? host : host.substring(0, port);
        return name.trim().toLowerCase(Locale.ROOT);
    }

    /** Returns the headers of the request. */
    public HttpHeaders headers() {
        return headers;
    }

    /** Returns the complete body. */
    public byte[] body() {
        return body;
    }

    /** Returns the clock reading when the request head had been read, in nanoseconds. */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /** Sends the answer; does nothing if one was sent already or the client has disconnected. */
    public void answer(Answer answer) {
        if (answered || cancelled) {
            return;
        }
        answered = true;
        cancellations.clear();
        answers.accept(answer);
    }

    /** Returns whether an answer was sent or the client has disconnected. */
    public boolean ended() {
        return answered || cancelled;
    }

    /**
     * Registers an action to run if the client disconnects before an answer was sent; runs it
     * immediately if the client has disconnected already.
     */
    public void onCancel(Runnable action) {
        if (cancelled) {
            action.run();
        } else {
            cancellations.add(action);
        }
    }

    /** Marks the exchange as cancelled because the client has disconnected. */
    public void cancel() {
        if (answered || cancelled) {
            return;
        }
        cancelled = true;
        List<Runnable> actions = List.copyOf(cancellations);
        cancellations.clear();
        actions.forEach(Runnable::run);
    }
}
