package dev.zinniaring.node;

import dev.zinniaring.calls.RequestFraming;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP listener for calls. A request occupies a thread only after its body, or the first 64 KiB
 * of it, has arrived, so that slow senders occupy none.
 */
final class CallListener {
    private static final int MIN_THREADS = 8;
    private static final int SPARE_THREADS = 24;
    private static final int POLL_MILLIS = 10;
    private static final long WATCH_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int BAD_REQUEST = 400;
    private static final int PAYLOAD_TOO_LARGE = 413;
    private static final int HEADERS_TOO_LARGE = 431;

    /** Handles the calls that a listener receives, on the listener's threads; may block. */
    @FunctionalInterface
    interface CallHandler {
        /** Handles a call and writes its response. */
        void handle(Exchange exchange);
    }

    private final String name;
    private final ServerSocketChannel port;
    private final Limits limits;
    private final Clock clock;
    private final CallHandler calls;
    private final Server server;
    private final ServerConnector connector;
    private final Set<Exchange> inFlight = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final LongAdder refused = new LongAdder();

    CallListener(
            String name, ServerSocketChannel port, Limits limits, Clock clock, CallHandler calls) {
        this.name = name;
        this.port = port;
        this.limits = limits;
        this.clock = clock;
        this.calls = calls;
        QueuedThreadPool threads =
                new QueuedThreadPool(limits.maxConcurrentCalls() + SPARE_THREADS, MIN_THREADS);
        threads.setName(name);
        threads.setDaemon(true);
        server = new Server(threads);
        connector =
                new ServerConnector(
                        server, null, null, null, 0, 2, new HttpConnectionFactory(http()));
        setUp();
    }

    private void setUp() {
        connector.setIdleTimeout(limits.idleMillis());
        server.addConnector(connector);
        server.addBean(new NetworkConnectionLimit(limits.maxConnections(), connector));
        server.setErrorHandler(new CallErrorHandler());
        server.setStopAtShutdown(false);
        server.setHandler(new RequestHandler());
    }

    private HttpConfiguration http() {
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(limits.maxHeaderBytes());
        http.setHttpCompliance(HttpCompliance.STRICT);
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setMaxUnconsumedRequestContentReads(4);
        return http;
    }

    void start() throws KernelException {
        try {
            connector.open(port);
            server.start();
        } catch (Exception e) {
            throw new KernelException(name + " listener cannot start on " + port + ": " + e, e);
        }
    }

    int inFlight() {
        return inFlight.size();
    }

    /** Returns the ids of the calls in flight, as their callers sent them. */
    List<String> inFlightIds() {
        return inFlight.stream()
                .map(exchange -> exchange.header(CallHeaders.CALL_ID))
                .map(id -> id == null ? "unnamed" : id)
                .toList();
    }

    long refused() {
        return refused.sum();
    }

    int connections() {
        return connector.getConnectedEndPoints().size();
    }

    /** Adds {@code Connection: close} to all responses to requests that arrive from now on. */
    void drain() {
        draining.set(true);
    }

    /** Waits until no call is in flight, or until the limit has passed. */
    void awaitIdle(Duration limit) {
        await(limit, inFlight::isEmpty);
    }

    /** Waits for the given time; the listener keeps answering calls meanwhile. */
    void awaitTime(Duration time) {
        await(time, () -> false);
    }

    private static void await(Duration limit, BooleanSupplier done) {
        long leftMillis = limit.toMillis();
        CountDownLatch never = new CountDownLatch(1);
        try {
            while (!done.getAsBoolean() && leftMillis > 0) {
                never.await(POLL_MILLIS, TimeUnit.MILLISECONDS);
                leftMillis -= POLL_MILLIS;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void stop() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException(name + " did not stop", e);
        }
    }

    /** Refuses invalid requests by their heads alone, and loads the body of the others. */
    private final class RequestHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            CallException refusal = refusal(request);
            if (refusal != null) {
                refuse(request, response, callback, refusal);
            } else if (bodiless(request)) {
                dispatch(request, response, callback, CallBody.NONE);
            } else {
                BodyLoader.load(
                        request, limits, clock, new LoadedBodyHandler(request, response, callback));
            }
            return true;
        }
    }

    private static boolean bodiless(Request request) {
        return request.getLength() == 0
                || (request.getLength() < 0
                        && !request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING));
    }

    private @Nullable CallException refusal(Request request) {
        if (request.getLength() > limits.maxBodyBytes()) {
            return CallException.notRun(PAYLOAD_TOO_LARGE, "body-too-large");
        }
        if (request.getHeaders().size() > limits.maxHeaders()) {
            return CallException.notRun(HEADERS_TOO_LARGE, "too-many-headers");
        }
        if (request.getMethod().equals("CONNECT")) {
            return CallException.notRun(BAD_REQUEST, "bad-method");
        }
        if (!framed(request)) {
            return CallException.notRun(BAD_REQUEST, "bad-framing");
        }
        return null;
    }

    private static boolean framed(Request request) {
        HttpFields headers = request.getHeaders();
        return RequestFraming.unambiguous(
                headers.getValuesList(HttpHeader.TRANSFER_ENCODING),
                headers.contains(HttpHeader.CONTENT_LENGTH),
                request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1);
    }

    private void refuse(
            Request request, Response response, Callback callback, CallException refusal) {
        refused.increment();
        new Exchange(request, response, callback, CallBody.NONE, true, clock.nanos())
                .respond(refusal);
    }

    private void dispatch(Request request, Response response, Callback callback, CallBody body) {
        InFlightTracker tracker = new InFlightTracker(callback);
        Exchange exchange =
                new Exchange(request, response, tracker, body, draining.get(), clock.nanos());
        tracker.begin(exchange);
        calls.handle(exchange);
    }

    /** Counts an exchange as in flight until its response has been written. */
    private final class InFlightTracker extends Callback.Nested {
        private @Nullable Exchange exchange;

        InFlightTracker(Callback callback) {
            super(callback);
        }

        void begin(Exchange begun) {
            exchange = begun;
            inFlight.add(begun);
        }

        @Override
        public void completed() {
            if (exchange != null) {
                inFlight.remove(exchange);
            }
        }
    }

    /** Starts to watch the clients of long-running calls for a disconnect. */
    void watchClients() {
        long nowNanos = clock.nanos();
        for (Exchange exchange : inFlight) {
            if (nowNanos - exchange.startNanos() > WATCH_AFTER_NANOS) {
                exchange.watchClient();
            }
        }
    }

    /** Handles a call after its body has been loaded. */
    private final class LoadedBodyHandler implements BodyLoader.Listener {
        private final Request request;
        private final Response response;
        private final Callback callback;

        LoadedBodyHandler(Request request, Response response, Callback callback) {
            this.request = request;
            this.response = response;
            this.callback = callback;
        }

        @Override
        public void loaded(CallBody body) {
            dispatch(request, response, callback, body);
        }

        @Override
        public void failed(CallException refusal) {
            refuse(request, response, callback, refusal);
        }
    }
}
