package dev.zinniaring.node;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Set;
import okhttp3.Headers;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.internal.http.HttpMethod;
import org.eclipse.jetty.http.HttpField;

/** Builds the request to the next hop from the received request. */
final class HopRequests {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private HopRequests() {}

    /**
     * Returns a builder of the request to a node or backend server.
     *
     * @param to address such as {@code 127.0.0.1:8080}
     * @param leftNanos time left until the deadline
     * @throws CallException if the request cannot be forwarded
     */
    static Request.Builder of(CallContext call, String to, long leftNanos) throws CallException {
        Exchange exchange = call.exchange();
        HttpUrl url = HttpUrl.parse("http://" + to + "/");
        if (url == null) {
            throw CallException.notRun(400, "bad-target");
        }
        if (leftNanos < NANOS_PER_MILLI) {
            throw CallException.notRun(503, "deadline");
        }
        Headers.Builder headers = forwarded(exchange);
        headers.set(CallHeaders.RANK, call.rank());
        headers.set(CallHeaders.DEADLINE_MS, Long.toString(leftNanos / NANOS_PER_MILLI));
        headers.set(CallHeaders.DEPTH, Integer.toString(call.depth()));
        headers.set(CallHeaders.ATTEMPT, Integer.toString(call.attempt()));
        headers.set(CallHeaders.CALL_ID, call.callId());
        Request.Builder request =
                new Request.Builder()
                        .url(url)
                        .tag(RequestTarget.class, RequestTarget.of(exchange.target()))
                        .headers(headers.build());
        return withBody(request, call);
    }

    private static Request.Builder withBody(Request.Builder request, CallContext call)
            throws CallException {
        String method = call.exchange().method();
        CallBody body = call.body();
        if (body.isEmpty() && !HttpMethod.requiresRequestBody(method)) {
            return request.method(method, null);
        }
        if (!HttpMethod.permitsRequestBody(method)) {
            throw CallException.notRun(400, "body-not-allowed");
        }
        return request.method(method, body.forRequest());
    }

    private static Headers.Builder forwarded(Exchange exchange) {
        Headers.Builder headers = new Headers.Builder();
        Set<String> ofConnection = exchange.connectionHeaders();
        for (HttpField field : exchange.headers()) {
            String name = field.getName();
            String value = field.getValue();
            if (CallHeaders.forwarded(name)
                    && (!ofConnection.contains(field.getLowerCaseName())
                            || CallHeaders.endToEnd(name))) {
                headers.addUnsafeNonAscii(name, value == null ? "" : value);
            }
        }
        if (headers.get("Accept-Encoding") == null) {
            // Otherwise OkHttp would request gzip and decompress the response.
            headers.set("Accept-Encoding", "identity");
        }
        if (headers.get("User-Agent") == null) {
            headers.set("User-Agent", "zinniaring");
        }
        return headers;
    }

    /** Returns an address as it is written in a URL. */
    static String text(InetSocketAddress address) {
        InetAddress ip = address.getAddress();
        String host = ip.getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}
