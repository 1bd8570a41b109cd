package dev.zinniaring.node;

import dev.zinniaring.kernel.KernelException;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.EagerContentHandler;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP listener for calls. A request takes a thread only once its body has arrived, or the first
 * 64 KiB of it, so that slow senders take none.
 */
final class CallListener {
    private static final int MIN_THREADS = 8;
    private static final int SPARE_THREADS = 24;
    private static final int AWAIT_STEP_MILLIS = 10;
    private static final int PAYLOAD_TOO_LARGE = 413;
    private static final int HEADERS_TOO_LARGE = 431;

    /** Handles the calls of a listener on the listener's threads; may block. */
    @FunctionalInterface
    interface CallHandler {
        /** Answers an exchange. */
        void handle(Exchange exchange);
    }

    private final String name;
    private final ServerSocketChannel port;
    private final Limits limits;
    private final CallHandler calls;
    private final Server server;
    private final ServerConnector connector;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final LongAdder refused = new LongAdder();

    CallListener(String name, ServerSocketChannel port, Limits limits, CallHandler calls) {
        this.name = name;
        this.port = port;
        this.limits = limits;
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
        server.setErrorHandler(new CallErrors());
        server.setStopAtShutdown(false);
        EagerContentHandler eager =
                new EagerContentHandler(
                        new EagerContentHandler.RetainedContentLoaderFactory(
                                CallBody.KEPT_BYTES, 0, false));
        eager.setHandler(new Calls());
        server.setHandler(new Screen(eager));
    }

    private HttpConfiguration http() {
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(limits.maxHeaderBytes());
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setMinRequestDataRate(limits.minBodyBytesPerSecond());
        http.setMaxUnconsumedRequestContentReads(4);
        return http;
    }

    void start() throws KernelException {
        try {
            connector.open(port);
            server.start();
        } catch (Exception e) {
            throw new KernelException(name + " cannot listen at " + port + ": " + e, e);
        }
    }

    int inFlight() {
        return inFlight.get();
    }

    long refused() {
        return refused.sum();
    }

    int connections() {
        return connector.getConnectedEndPoints().size();
    }

    /** Answers from now on with the request to close the connection. */
    void drain() {
        draining.set(true);
    }

    /** Waits until no call is in flight, at most for the limit. */
    void awaitIdle(Duration limit) {
        await(limit, () -> inFlight.get() == 0);
    }

    /** Waits for the given time, while calls are still answered. */
    void awaitTime(Duration time) {
        await(time, () -> false);
    }

    private static void await(Duration limit, BooleanSupplier done) {
        long leftMillis = limit.toMillis();
        CountDownLatch never = new CountDownLatch(1);
        try {
            while (!done.getAsBoolean() && leftMillis > 0) {
                never.await(AWAIT_STEP_MILLIS, TimeUnit.MILLISECONDS);
                leftMillis -= AWAIT_STEP_MILLIS;
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

    /** Refuses what can be judged by its headers, before any of the body is read. */
    private final class Screen extends Handler.Wrapper {
        Screen(Handler next) {
            super(next);
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback)
                throws Exception {
            CallException refusal = refusal(request);
            if (refusal == null) {
                return super.handle(request, response, callback);
            }
            refused.increment();
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
            new Exchange(request, response, callback, true).answer(refusal);
            return true;
        }

        private @Nullable CallException refusal(Request request) {
            if (request.getLength() > limits.maxBodyBytes()) {
                return CallException.notRun(PAYLOAD_TOO_LARGE, "body-too-large");
            }
            if (request.getHeaders().size() > limits.maxHeaders()) {
                return CallException.notRun(HEADERS_TOO_LARGE, "too-many-headers");
            }
            if (request.getMethod().equals("CONNECT")) {
                return CallException.notRun(400, "bad-method");
            }
            return null;
        }
    }

    private final class Calls extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            inFlight.incrementAndGet();
            Callback ended = Callback.from(callback, CallListener.this::ended);
            calls.handle(new Exchange(request, response, ended, draining.get()));
            return true;
        }
    }

    private void ended() {
        inFlight.decrementAndGet();
    }
}
