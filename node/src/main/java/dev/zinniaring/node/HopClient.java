package dev.zinniaring.node;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Connection;
import okhttp3.ConnectionPool;
import okhttp3.EventListener;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends requests to nodes and backend servers over persistent connections. Sends each request at
 * most once, and reports whether a failed request may have been received. Blocks the calling
 * thread.
 */
final class HopClient implements AutoCloseable {
    private static final Logger log = LoggerFactory.getLogger(HopClient.class);
    private static final int MAX_IDLE_CONNECTIONS = 1_024;
    private static final int KEEP_ALIVE_SECONDS = 50;
    private static final int MAX_STALE_CONNECTIONS = 256;
    private static final int UNAVAILABLE = 503;

    private final OkHttpClient client;

    HopClient(int connectMillis) {
        client =
                new OkHttpClient.Builder()
                        .socketFactory(new HopSocketFactory())
                        .proxy(Proxy.NO_PROXY)
                        .protocols(List.of(Protocol.HTTP_1_1))
                        .connectionPool(
                                new ConnectionPool(
                                        MAX_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
                        .connectTimeout(Duration.ofMillis(connectMillis))
                        // No read or write time-out: the deadline of the call bounds both, and each
                        // further timer would cost a lock.
                        .readTimeout(Duration.ZERO)
                        .writeTimeout(Duration.ZERO)
                        // Each of these would make OkHttp resend requests on its own.
                        .retryOnConnectionFailure(false)
                        .fastFallback(false)
                        .followRedirects(false)
                        .followSslRedirects(false)
                        .addNetworkInterceptor(HopClient::checked)
                        .eventListenerFactory(HopClient::listener)
                        .build();
    }

    /** Tracks whether the sending of a request has begun. */
    private static final class Progress extends EventListener {
        private volatile boolean sending;

        @Override
        public void requestHeadersStart(Call call) {
            sending = true;
        }
    }

    /**
     * Thrown if an idle connection was closed by the other side, received unexpected bytes, or has
     * carried the call before.
     */
    private static final class StaleConnectionException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    /** Thrown if a response may belong to another call. */
    private static final class ForeignResponseException extends IOException {
        private static final long serialVersionUID = 1L;

        ForeignResponseException(Response response, int requests) {
            super(
                    "answer %d names %s, to request %d on its connection"
                            .formatted(
                                    response.code(),
                                    response.headers(CallHeaders.CALL_ID).stream()
                                            .map(HopClient::shortened)
                                            .toList(),
                                    requests));
        }
    }

    private static String shortened(String id) {
        return id.substring(0, Math.min(id.length(), CallContextFactory.MAX_ID_CHARS));
    }

    private static EventListener listener(Call call) {
        Progress progress = call.request().tag(Progress.class);
        return progress == null ? EventListener.NONE : progress;
    }

    private static Response checked(Interceptor.Chain chain) throws IOException {
        Connection connection = chain.connection();
        String callId = callId(chain.request());
        if (connection == null
                || !(connection.socket() instanceof HopSocket socket)
                || !socket.begin(
                        chain.request().method(),
                        callId,
                        chain.request().tag(RequestTarget.class))) {
            throw stale(connection);
        }
        Response response = chain.proceed(chain.request());
        checkOrigin(response, callId, socket);
        String retryAfter = response.header("Retry-After");
        if (response.code() != UNAVAILABLE || retryAfter == null) {
            return response;
        }
        return response.newBuilder()
                .removeHeader("Retry-After")
                .header(CallHeaders.HELD_RETRY_AFTER, retryAfter)
                .build();
    }

    private static void checkOrigin(Response response, String sentId, HopSocket socket)
            throws IOException {
        ResponseOrigin origin =
                ResponseOrigin.of(
                        sentId,
                        response.headers(CallHeaders.CALL_ID),
                        response.code(),
                        socket.requests() == 1);
        if (origin == ResponseOrigin.FOREIGN) {
            socket.close();
            throw new ForeignResponseException(response, socket.requests());
        }
        if (origin == ResponseOrigin.UNNAMED) {
            socket.retire();
        }
    }

    private static String callId(Request request) {
        String callId = request.header(CallHeaders.CALL_ID);
        if (callId == null) {
            throw new IllegalArgumentException("request without a call id: " + request.url());
        }
        return callId;
    }

    private static IOException stale(@Nullable Connection connection) throws IOException {
        if (connection != null) {
            connection.socket().close();
        }
        return new StaleConnectionException();
    }

    /**
     * Sends a request and returns its response with the body unread; the caller must end it.
     *
     * @param request must carry the id of its call
     * @param leftNanos time left until the deadline
     * @param cancellation cancels the request when the caller disconnects
     * @throws HopException if no response was received
     */
    HopResponse send(Request request, long leftNanos, Cancellation cancellation)
            throws HopException {
        for (int stale = 0; ; stale++) {
            Progress progress = new Progress();
            Call call = client.newCall(request.newBuilder().tag(Progress.class, progress).build());
            call.timeout().timeout(Math.max(1, leftNanos), TimeUnit.NANOSECONDS);
            cancellation.onCancel(call::cancel);
            try {
                return new HopResponse(call.execute(), call);
            } catch (StaleConnectionException e) {
                if (stale >= MAX_STALE_CONNECTIONS) {
                    throw new HopException(HopException.Kind.NOT_SENT, e);
                }
            } catch (IOException e) {
                if (e instanceof ForeignResponseException
                        || e instanceof MalformedResponseException) {
                    log.warn(
                            "call {} to {}:{}: dropped an answer: {}",
                            callId(request),
                            request.url().host(),
                            request.url().port(),
                            e.getMessage());
                }
                throw new HopException(kind(e, progress, cancellation), e);
            }
        }
    }

    private static HopException.Kind kind(
            IOException e, Progress progress, Cancellation cancellation) {
        if (!progress.sending) {
            return HopException.Kind.NOT_SENT;
        }
        if (e instanceof BodyException) {
            return HopException.Kind.BAD_BODY;
        }
        if (cancellation.cancelled()) {
            return HopException.Kind.CANCELLED;
        }
        if (e instanceof ForeignResponseException) {
            return HopException.Kind.FOREIGN;
        }
        return kind(e);
    }

    /** Returns the kind of a failure to read a response. */
    static HopException.Kind kind(IOException e) {
        return e instanceof InterruptedIOException
                ? HopException.Kind.TIMED_OUT
                : HopException.Kind.BROKEN;
    }

    int connections() {
        return client.connectionPool().connectionCount();
    }

    @Override
    public void close() {
        client.connectionPool().evictAll();
        client.dispatcher().executorService().shutdown();
    }
}
