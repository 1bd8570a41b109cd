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
final class HopAnswer {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** How the reading of a response ended. */
    enum End {
        /** The whole body was read. */
        WHOLE,
        /** The connection to the sender of the response broke, or the deadline passed. */
        BROKEN,
        /** The response was discarded: its receiver disconnected, or it was invalid. */
        UNREAD
    }

    private final Response response;
    private final Call call;
    private @Nullable Consumer<End> listener;

    HopAnswer(Response response, Call call) {
        this.response = response;
        this.call = call;
    }

    Response response() {
        return response;
    }

    /** Adds a listener for the end of reading; listeners are called in reverse order. */
    HopAnswer onEnd(Consumer<End> next) {
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
        Consumer<End> told = listener;
        listener = null;
        if (end != End.WHOLE) {
            call.cancel();
        }
        response.close();
        if (told != null) {
            told.accept(end);
        }
    }

    /** Returns whether the end of the body is distinguishable from a lost connection. */
    boolean framed(String method) {
        List<String> lengths = response.headers("Content-Length");
        if (lengths.stream().distinct().count() > 1) {
            return false;
        }
        return !lengths.isEmpty()
                || "chunked".equalsIgnoreCase(response.header("Transfer-Encoding"))
                || method.equals("HEAD")
                || response.code() == NO_CONTENT
                || response.code() == NOT_MODIFIED;
    }
}
