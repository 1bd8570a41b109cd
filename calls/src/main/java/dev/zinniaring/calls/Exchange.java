package dev.zinniaring.calls;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * One request that a listener has read whole, and its answer. All methods run on the event loop of
 * its connection.
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
     * @param arrivedNanos reading of the clock when the head of the request had been read
     * @param answers takes the answer, once
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

    /** Returns the HTTP method. */
    public String method() {
        return method;
    }

    /** Returns path and query as they came. */
    public String target() {
        return target;
    }

    /** Returns the path without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the host in lower case, without the port. */
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

    /** Returns the whole body. */
    public byte[] body() {
        return body;
    }

    /** Returns the reading of the clock when the request arrived, in nanoseconds. */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /** Sends the answer; does nothing if there is one already or the other side has left. */
    public void answer(Answer answer) {
        if (answered || cancelled) {
            return;
        }
        answered = true;
        cancellations.clear();
        answers.accept(answer);
    }

    /** Returns whether there is nothing more to do: an answer was sent or the other side left. */
    public boolean ended() {
        return answered || cancelled;
    }

    /** Runs an action if the other side leaves before it has an answer. */
    public void onCancel(Runnable action) {
        if (cancelled) {
            action.run();
        } else {
            cancellations.add(action);
        }
    }

    /** Tells that the other side has left. */
    void cancel() {
        if (answered || cancelled) {
            return;
        }
        cancelled = true;
        List<Runnable> actions = List.copyOf(cancellations);
        cancellations.clear();
        actions.forEach(Runnable::run);
    }
}
