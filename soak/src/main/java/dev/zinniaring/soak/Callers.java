package dev.zinniaring.soak;

import dev.zinniaring.calls.Addresses;
import dev.zinniaring.calls.HeaderNames;
import dev.zinniaring.platform.PlatformHeaders;
import dev.zinniaring.soak.Observations.Outcome;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/**
 * Generates calls to all nodes at a steady rate per node, over pooled connections. Calls are never
 * retried.
 */
final class Callers implements Load {
    /** Interval between calls per node; leaves a third of the backend servers' slots free. */
    private static final long PERIOD_MILLIS_PER_NODE = 72;

    /** One in this many callers of {@link Route#REPORT} cancels its call. */
    private static final int CANCELLED_ONE_IN = 3;

    private static final long CANCEL_AFTER_MILLIS = 150;

    /** Callers keep reading for this long after their deadline. */
    private static final long READ_GRACE_MILLIS = 100;

    private static final HeaderNames NAMES = PlatformHeaders.names();
    private static final int MAX_CONCURRENT_CALLS = 2_000;

    private final List<InetSocketAddress> nodes;
    private final Observations observations;
    private final ScheduledExecutorService timer;
    private final SplittableRandom random;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final OkHttpClient client;
    private @Nullable ScheduledFuture<?> sending;
    private int sent;

    Callers(
            List<InetSocketAddress> nodes,
            Observations observations,
            ScheduledExecutorService timer,
            SplittableRandom random) {
        this.nodes = nodes;
        this.observations = observations;
        this.timer = timer;
        this.random = random;
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAX_CONCURRENT_CALLS);
        dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_CALLS);
        client =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .connectionPool(new ConnectionPool(100, 10, TimeUnit.SECONDS))
                        .retryOnConnectionFailure(false)
                        .followRedirects(false)
                        .connectTimeout(Duration.ofSeconds(1))
                        .callTimeout(Duration.ofMillis(Route.DEADLINE_MILLIS + READ_GRACE_MILLIS))
                        .readTimeout(Duration.ZERO)
                        .build();
    }

    @Override
    public void start() {
        long periodMillis = Math.max(1, PERIOD_MILLIS_PER_NODE / nodes.size());
        sending =
                timer.scheduleAtFixedRate(
                        this::send, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() throws InterruptedException {
        ScheduledFuture<?> scheduled = sending;
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        for (int i = 0; inFlight.get() > 0 && i < 50; i++) {
            TimeUnit.MILLISECONDS.sleep(100);
        }
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private void send() {
        sent++;
        int node = random.nextInt(nodes.size());
        Route route = Route.values()[sent % Route.values().length];
        String id = "c-" + sent;
        Request request =
                new Request.Builder()
                        .url(
                                "http://%s%s%s"
                                        .formatted(
                                                Addresses.text(nodes.get(node)),
                                                route.prefix(),
                                                id))
                        .header("Host", Route.HOST)
                        .header(NAMES.callId(), id)
                        .header(NAMES.deadlineMillis(), Integer.toString(Route.DEADLINE_MILLIS))
                        .method(
                                route.idempotent() ? "GET" : "POST",
                                route.idempotent() ? null : RequestBody.create(new byte[0]))
                        .build();
        okhttp3.Call call = client.newCall(request);
        boolean cancels = route == Route.REPORT && random.nextInt(CANCELLED_ONE_IN) == 0;
        inFlight.incrementAndGet();
        CallRecorder recorder = new CallRecorder(id, node, route, observations.nowMillis());
        if (cancels) {
            timer.schedule(
                    () -> {
                        recorder.cancelled = true;
                        call.cancel();
                    },
                    CANCEL_AFTER_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        call.enqueue(recorder);
    }

    private final class CallRecorder implements Callback {
        private final String id;
        private final int node;
        private final Route route;
        private final long sentMillis;
        private volatile boolean cancelled;

        CallRecorder(String id, int node, Route route, long sentMillis) {
            this.id = id;
            this.node = node;
            this.route = route;
            this.sentMillis = sentMillis;
        }

        @Override
        public void onResponse(okhttp3.Call call, Response response) {
            try (response) {
                String body = response.body().string();
                end(response.code(), body, Outcome.ANSWERED);
            } catch (IOException e) {
                end(0, "", outcome(e));
            }
        }

        @Override
        public void onFailure(okhttp3.Call call, IOException failure) {
            end(0, "", outcome(failure));
        }

        private Outcome outcome(IOException failure) {
            if (cancelled) {
                return Outcome.CALLER_LEFT;
            }
            if (failure instanceof ConnectException) {
                return Outcome.NO_CONNECTION;
            }
            if (failure instanceof SocketTimeoutException
                    || observations.nowMillis() - sentMillis >= Route.DEADLINE_MILLIS) {
                return Outcome.DEADLINE;
            }
            return Outcome.CUT;
        }

        private void end(int status, String body, Outcome outcome) {
            inFlight.decrementAndGet();
            observations.add(
                    new Observations.Call(
                            id,
                            node,
                            route,
                            sentMillis,
                            observations.nowMillis(),
                            sentMillis + Route.DEADLINE_MILLIS,
                            status,
                            body,
                            outcome));
        }
    }
}
