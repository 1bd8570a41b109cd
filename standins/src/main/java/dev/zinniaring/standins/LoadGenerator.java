package dev.zinniaring.standins;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.ExecutorScheduler;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.Okio;

/**
 * Sends calls at a steady rate whether or not earlier ones were answered, for a bounded time and
 * number of calls.
 *
 * <pre>{@code
 * LoadResult result = LoadGenerator.builder().target(node)
 *         .stream(LoadStream.posting("urgent", "/katalog", 200))
 *         .duration(Duration.ofSeconds(5)).build().run();
 * }</pre>
 */
public final class LoadGenerator {
    private final LoadGeneratorBuilder parts;
    private final Clock clock;
    private final OkHttpClient client;
    private final ExecutorScheduler scheduler = new ExecutorScheduler("load", 2);
    private final Phaser inFlight = new Phaser(1);
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final Map<String, String> outcomes = new ConcurrentHashMap<>();

    LoadGenerator(LoadGeneratorBuilder parts) {
        this.parts = parts;
        this.clock = parts.clock;
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(parts.maxInFlight);
        dispatcher.setMaxRequestsPerHost(parts.maxInFlight);
        client =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .connectionPool(new ConnectionPool(parts.maxInFlight, 20, TimeUnit.SECONDS))
                        .retryOnConnectionFailure(false)
                        .callTimeout(parts.timeout)
                        .readTimeout(Duration.ZERO)
                        .writeTimeout(Duration.ZERO)
                        .build();
    }

    /** Returns a builder. */
    public static LoadGeneratorBuilder builder() {
        return new LoadGeneratorBuilder();
    }

    /**
     * Sends all calls and returns when each has ended. Can be called once.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public LoadResult run() throws InterruptedException {
        Map<String, LoadTally> tallies = new LinkedHashMap<>();
        long startNanos = clock.nanos();
        int index = 0;
        for (LoadStream stream : parts.streams) {
            LoadTally tally = tallies.computeIfAbsent(stream.name(), name -> new LoadTally());
            inFlight.register();
            new Arrivals(stream, tally, startNanos, parts.seed + index++).next();
        }
        awaitAll();
        close();
        Map<String, LoadResult.Stream> results = new LinkedHashMap<>();
        tallies.forEach((name, tally) -> results.put(name, tally.result()));
        return new LoadResult(results, Map.copyOf(outcomes), clock.since(startNanos).toMillis());
    }

    private void awaitAll() throws InterruptedException {
        Duration limit = parts.duration.plus(parts.timeout).plusSeconds(5);
        try {
            int phase = inFlight.arrive();
            inFlight.awaitAdvanceInterruptibly(phase, limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            client.dispatcher().cancelAll();
        }
    }

    private void close() {
        scheduler.close();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private boolean mayStart() {
        if (running.incrementAndGet() <= parts.maxInFlight) {
            return true;
        }
        running.decrementAndGet();
        return false;
    }

    private void ended() {
        running.decrementAndGet();
        inFlight.arriveAndDeregister();
    }

    /** The arrivals of one stream. */
    private final class Arrivals {
        private final LoadStream stream;
        private final LoadTally tally;
        private final long startNanos;
        private final Random random;
        private long dueNanos;

        Arrivals(LoadStream stream, LoadTally tally, long startNanos, long seed) {
            this.stream = stream;
            this.tally = tally;
            this.startNanos = startNanos;
            this.random = new Random(seed);
            this.dueNanos = startNanos;
        }

        /** Plans the next arrival; ends the stream when its time or the calls are used up. */
        void next() {
            dueNanos += (long) (random.nextExponential() / stream.callsPerSecond() * 1e9);
            if (dueNanos - startNanos > parts.duration.toNanos()) {
                inFlight.arriveAndDeregister();
                return;
            }
            long delayNanos = Math.max(0, dueNanos - clock.nanos());
            scheduler.after(Duration.ofNanos(delayNanos), this::arrive);
        }

        private void arrive() {
            int number = calls.incrementAndGet();
            if (number > parts.maxCalls) {
                inFlight.arriveAndDeregister();
                return;
            }
            if (mayStart()) {
                send(number);
            } else {
                tally.skipped();
            }
            next();
        }

        private void send(int number) {
            inFlight.register();
            tally.sent();
            String callId = parts.callIdPrefix + "-" + stream.name() + "-" + number;
            Request request = request(number, callId);
            long sentNanos = clock.nanos();
            client.newCall(request).enqueue(new Answer(tally, callId, dueNanos, sentNanos));
        }

        private Request request(int number, String callId) {
            String url =
                    BackendServer.urlOf(parts.targets.get(number % parts.targets.size()))
                            + stream.path();
            boolean bodiless = stream.method().equals("GET") || stream.method().equals("HEAD");
            Request.Builder request =
                    new Request.Builder()
                            .url(url)
                            .method(
                                    stream.method(),
                                    bodiless ? null : RequestBody.create(stream.body()));
            stream.headers().forEach(request::header);
            return request.header("Zinniaring-Call-Id", callId).build();
        }
    }

    /** Takes the answer of one call. */
    private final class Answer implements Callback {
        private final LoadTally tally;
        private final String callId;
        private final long dueNanos;
        private final long sentNanos;

        Answer(LoadTally tally, String callId, long dueNanos, long sentNanos) {
            this.tally = tally;
            this.callId = callId;
            this.dueNanos = dueNanos;
            this.sentNanos = sentNanos;
        }

        @Override
        public void onFailure(Call call, IOException e) {
            broken();
            ended();
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                response.body().source().readAll(Okio.blackhole());
                whole(response);
            } catch (IOException e) {
                broken();
            }
            ended();
        }

        private void whole(Response response) {
            long nowNanos = clock.nanos();
            String outcome = response.header("Zinniaring-Outcome", "none");
            outcomes.put(callId, outcome);
            tally.answered(
                    response.code(),
                    outcome,
                    (nowNanos - sentNanos) / 1_000,
                    (nowNanos - dueNanos) / 1_000);
        }

        private void broken() {
            outcomes.put(callId, "broken");
            tally.broken();
        }
    }
}
