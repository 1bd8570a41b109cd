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
 * An open-loop load generator: sends calls at a steady mean rate, independent of the responses to
 * earlier calls, for a bounded time and up to a maximum number of calls.
 *
 * <pre>{@code
 * LoadResult result = LoadGenerator.builder().target(node)
 *         .stream(LoadStream.posting("urgent", "/katalog", 200))
 *         .duration(Duration.ofSeconds(5)).build().run();
 * }</pre>
 */
public final class LoadGenerator {
    private final LoadGeneratorBuilder options;
    private final Clock clock;
    private final OkHttpClient client;
    private final ExecutorScheduler scheduler = new ExecutorScheduler("load", 2);
    private final Phaser inFlight = new Phaser(1);
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final Map<String, String> outcomes = new ConcurrentHashMap<>();

    LoadGenerator(LoadGeneratorBuilder options) {
        this.options = options;
        this.clock = options.clock;
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(options.maxInFlight);
        dispatcher.setMaxRequestsPerHost(options.maxInFlight);
        client =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .connectionPool(
                                new ConnectionPool(options.maxInFlight, 20, TimeUnit.SECONDS))
                        .retryOnConnectionFailure(false)
                        .callTimeout(options.timeout)
                        .readTimeout(Duration.ZERO)
                        .writeTimeout(Duration.ZERO)
                        .build();
    }

    /** Returns a builder with default settings. */
    public static LoadGeneratorBuilder builder() {
        return new LoadGeneratorBuilder();
    }

    /**
     * Sends all calls and waits until each has ended. Calls that are still in flight 5 s after the
     * duration and the time-out of a call have passed are cancelled. Can be called once.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public LoadResult run() throws InterruptedException {
        Map<String, StreamStatistics> statisticsByStream = new LinkedHashMap<>();
        long startNanos = clock.nanos();
        int index = 0;
        for (LoadStream stream : options.streams) {
            StreamStatistics statistics =
                    statisticsByStream.computeIfAbsent(
                            stream.name(), name -> new StreamStatistics());
            inFlight.register();
            new Arrivals(stream, statistics, startNanos, options.seed + index++).next();
        }
        awaitAll();
        close();
        Map<String, LoadResult.Stream> results = new LinkedHashMap<>();
        statisticsByStream.forEach((name, statistics) -> results.put(name, statistics.result()));
        return new LoadResult(results, Map.copyOf(outcomes), clock.since(startNanos).toMillis());
    }

    private void awaitAll() throws InterruptedException {
        Duration limit = options.duration.plus(options.timeout).plusSeconds(5);
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

    private boolean tryAcquire() {
        if (running.incrementAndGet() <= options.maxInFlight) {
            return true;
        }
        running.decrementAndGet();
        return false;
    }

    private void ended() {
        running.decrementAndGet();
        inFlight.arriveAndDeregister();
    }

    /** Schedules the arrivals of one stream as a Poisson process. */
    private final class Arrivals {
        private final LoadStream stream;
        private final StreamStatistics statistics;
        private final long startNanos;
        private final Random random;
        private long dueNanos;

        Arrivals(LoadStream stream, StreamStatistics statistics, long startNanos, long seed) {
            this.stream = stream;
            this.statistics = statistics;
            this.startNanos = startNanos;
            this.random = new Random(seed);
            this.dueNanos = startNanos;
        }

        /** Schedules the next arrival, or ends the stream if it would fall after the duration. */
        void next() {
            dueNanos += (long) (random.nextExponential() / stream.callsPerSecond() * 1e9);
            if (dueNanos - startNanos > options.duration.toNanos()) {
                inFlight.arriveAndDeregister();
                return;
            }
            long delayNanos = Math.max(0, dueNanos - clock.nanos());
            scheduler.after(Duration.ofNanos(delayNanos), this::arrive);
        }

        private void arrive() {
            int number = calls.incrementAndGet();
            if (number > options.maxCalls) {
                inFlight.arriveAndDeregister();
                return;
            }
            if (tryAcquire()) {
                send(number);
            } else {
                statistics.skipped();
            }
            next();
        }

        private void send(int number) {
            inFlight.register();
            statistics.sent();
            String callId = options.callIdPrefix + "-" + stream.name() + "-" + number;
            Request request = request(number, callId);
            long sentNanos = clock.nanos();
            client.newCall(request)
                    .enqueue(new ResponseRecorder(statistics, callId, dueNanos, sentNanos));
        }

        private Request request(int number, String callId) {
            String url =
                    BackendServer.urlOf(options.targets.get(number % options.targets.size()))
                            + stream.path();
            boolean withoutBody = stream.method().equals("GET") || stream.method().equals("HEAD");
            Request.Builder request =
                    new Request.Builder()
                            .url(url)
                            .method(
                                    stream.method(),
                                    withoutBody ? null : RequestBody.create(stream.body()));
            stream.headers().forEach(request::header);
            return request.header("Zinniaring-Call-Id", callId).build();
        }
    }

    /** Records the result of one call. */
    private final class ResponseRecorder implements Callback {
        private final StreamStatistics statistics;
        private final String callId;
        private final long dueNanos;
        private final long sentNanos;

        ResponseRecorder(
                StreamStatistics statistics, String callId, long dueNanos, long sentNanos) {
            this.statistics = statistics;
            this.callId = callId;
            this.dueNanos = dueNanos;
            this.sentNanos = sentNanos;
        }

        @Override
        public void onFailure(Call call, IOException e) {
            failed();
            ended();
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                response.body().source().readAll(Okio.blackhole());
                complete(response);
            } catch (IOException e) {
                failed();
            }
            ended();
        }

        private void complete(Response response) {
            long nowNanos = clock.nanos();
            String outcome = response.header("Zinniaring-Outcome", "none");
            outcomes.put(callId, outcome);
            statistics.answered(
                    response.code(),
                    outcome,
                    (nowNanos - sentNanos) / 1_000,
                    (nowNanos - dueNanos) / 1_000);
        }

        private void failed() {
            outcomes.put(callId, "broken");
            statistics.broken();
        }
    }
}
