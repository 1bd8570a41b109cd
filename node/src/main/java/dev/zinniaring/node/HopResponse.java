package dev.zinniaring.node;

import java.util.List;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/**
 * A response whose head was received and whose body is still to be read. Must be ended exactly
 * once.
 *
 * <p>Not thread-safe.
 */
final class HopResponse {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** How the reading of a response ended. */
    enum End {
        /** The whole body was read. */
        COMPLETE,
        /** The connection to the sender of the response broke, or the deadline passed. */
        BROKEN,
        /** The response was discarded: its receiver disconnected, or it was invalid. */
        DISCARDED
    }

    private final Response httpResponse;
    private final Call call;
    private @Nullable Consumer<End> listener;

    HopResponse(Response httpResponse, Call call) {
        this.httpResponse = httpResponse;
        this.call = call;
    }

    Response httpResponse() {
        return httpResponse;
    }

    /** Adds a listener for the end of reading; listeners are called in reverse order. */
    HopResponse onEnd(Consumer<End> next) {
        Consumer<End> before = listener;
        listener =
                before == null
                        ? next
                        : end -> {
                            next.accept(end);
                            before.accept(end);
                        };
        return this;
    }

    /** Ends the reading. A connection whose response was not read completely is not reused. */
    void end(End end) {
        Consumer<End> registered = listener;
        listener = null;
        if (end != End.COMPLETE) {
            call.cancel();
        }
        httpResponse.close();
        if (registered != null) {
            registered.accept(end);
        }
    }

    /** Returns whether the end of the body is distinguishable from a lost connection. */
    boolean framed(String method) {
        List<String> lengths = httpResponse.headers("Content-Length");
        if (lengths.stream().distinct().count() > 1) {
            return false;
        }
        return !lengths.isEmpty()
                || "chunked".equalsIgnoreCase(httpResponse.header("Transfer-Encoding"))
                || method.equals("HEAD")
                || httpResponse.code() == NO_CONTENT
                || httpResponse.code() == NOT_MODIFIED;
    }
}
