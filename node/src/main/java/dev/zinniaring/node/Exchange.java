package dev.zinniaring.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/** A request that a call listener received, and its response. */
final class Exchange {
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final Cancellation cancellation = new Cancellation();
    private final ClientDisconnectWatch watch;
    private final CallBody body;
    private final boolean closing;
    private final long startNanos;
    private volatile boolean watchable;
    private boolean watchStopped;

    /**
     * Creates an exchange.
     *
     * @param closing whether the connection is closed after the response
     * @param startNanos clock reading when the handling of the request began
     */
    Exchange(
            Request request,
            Response response,
            Callback callback,
            CallBody body,
            boolean closing,
            long startNanos) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.body = body;
        this.closing = closing;
        this.startNanos = startNanos;
        this.watch = ClientDisconnectWatch.of(request, cancellation);
        request.addFailureListener(failure -> cancellation.cancel());
        // Once the whole request is read, the connection is idle because its caller waits.
        request.addIdleTimeoutListener(timeout -> !watchable);
    }

    String method() {
        return request.getMethod();
    }

    /** Returns the decoded path without the query, for route matching. */
    String path() {
        String path = request.getHttpURI().getCanonicalPath();
        return path == null ? "/" : path;
    }

    /** Returns path and query as received. */
    String target() {
        String target = request.getHttpURI().getPathQuery();
        return target == null || !target.startsWith("/") ? "/" : target;
    }

    /** Returns the host in lower case, without the port. */
    String host() {
        String host = Request.getServerName(request);
        return host == null ? "" : host.toLowerCase(Locale.ROOT);
    }

    HttpFields headers() {
        return request.getHeaders();
    }

    @Nullable String header(String name) {
        return request.getHeaders().get(name);
    }

    /** Returns the integer in a header, or {@code fallback} if it is absent or malformed. */
    long number(String name, long fallback) {
        String value = header(name);
        if (value == null || value.isEmpty() || value.length() > 18) {
            return fallback;
        }
        for (int i = 0; i < value.length(); i++) {
            if (value.charAt(i) < '0' || value.charAt(i) > '9') {
                return fallback;
            }
        }
        return Long.parseLong(value);
    }

    /** Returns the names listed in the {@code Connection} header, in lower case. */
    Set<String> connectionHeaders() {
        Set<String> names = new HashSet<>();
        for (HttpField field : request.getHeaders().getFields(HttpHeader.CONNECTION)) {
            for (String name : field.getValues()) {
                names.add(name.toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }

    CallBody body() {
        return body;
    }

    Cancellation cancellation() {
        return cancellation;
    }

    /** Allows {@link #watchClient()}; the whole body must have been read. */
    void bodyRead() {
        watchable = true;
    }

    /** Cancels the call if the client disconnects from now on; no effect while the body is read. */
    void watchClient() {
        watchable = watchable || body.fullyRead();
        if (watchable) {
            watch.start();
        }
    }

    /** Returns the clock reading when the handling of the request began. */
    long startNanos() {
        return startNanos;
    }

    /**
     * Begins the response. Headers are added to {@link #responseHeaders()} before the first write.
     */
    void status(int status) {
        if (!watchStopped) {
            watchStopped = true;
            boolean close = watch.stop();
            if (close || closing) {
                response.getHeaders().put(HttpHeader.CONNECTION, "close");
            }
        }
        response.setStatus(status);
    }

    /** Adds the call id of the request to the response, unless the response has one. */
    void nameCall() {
        String callId = header(CallHeaders.CALL_ID);
        if (callId != null && !responseHeaders().contains(CallHeaders.CALL_ID)) {
            responseHeaders().put(CallHeaders.CALL_ID, callId);
        }
    }

    HttpFields.Mutable responseHeaders() {
        return response.getHeaders();
    }

    /** Writes a part of the response body and blocks until the connection has accepted it. */
    void write(byte[] bytes, int offset, int length) throws IOException {
        Content.Sink.write(response, false, ByteBuffer.wrap(bytes, offset, length));
    }

    /** Writes the last part of the response body and ends the exchange. */
    void end(byte[] bytes, int offset, int length) {
        response.write(true, ByteBuffer.wrap(bytes, offset, length), callback);
    }

    /** Sends an error response that states the outcome and the reason. */
    void respond(CallException refusal) {
        if (response.isCommitted()) {
            abort(refusal);
            return;
        }
        status(refusal.status());
        nameCall();
        responseHeaders().put(CallHeaders.OUTCOME, refusal.outcome().headerValue());
        responseHeaders().put(CallHeaders.REASON, refusal.reason());
        responseHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        byte[] body = describe(refusal).getBytes(StandardCharsets.UTF_8);
        end(body, 0, body.length);
    }

    private static String describe(CallException refusal) {
        return "{\"outcome\":\"%s\",\"reason\":\"%s\"}\n"
                .formatted(refusal.outcome().headerValue(), refusal.reason());
    }

    /** Closes the connection, so that the client cannot mistake the response for a complete one. */
    void abort(Throwable cause) {
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(cause);
    }
}
