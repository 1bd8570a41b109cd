package dev.zinniaring.standins;

import dev.zinniaring.kernel.ExecutorScheduler;
import io.javalin.Javalin;
import io.javalin.http.Context;
import io.javalin.http.HandlerType;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * A fake backend server for tests and experiments. It echoes the body of each call and counts the
 * calls it ran by call id.
 *
 * <pre>{@code
 * BackendServer server = BackendServer.builder("s1", "katalog")
 *         .slots(18).serviceTime(ServiceTime.exponential(5_000)).announceTo(node).build();
 * server.start();
 * }</pre>
 */
public final class BackendServer implements AutoCloseable {
    private static final Duration ANNOUNCE_PERIOD = Duration.ofSeconds(1);

    private final BackendServerBuilder options;
    private final BackendServerRuns runs = new BackendServerRuns();
    private final AtomicInteger healthStatus = new AtomicInteger(200);
    private final @Nullable BackendServerAnnouncer announcer;
    private final @Nullable DownstreamCaller downstream;
    private volatile @Nullable BackendServerInstance current;
    private volatile boolean draining;
    private volatile boolean silent;
    private int port;

    BackendServer(BackendServerBuilder options) {
        this.options = options;
        this.port = options.port;
        this.announcer =
                options.announceTo == null
                        ? null
                        : new BackendServerAnnouncer(options, options.announceTo);
        this.downstream =
                options.nextNode == null
                        ? null
                        : new DownstreamCaller(options.nextNode, options.nextPath);
    }

    /** Returns a builder for a server whose id must be unique in the mesh. */
    public static BackendServerBuilder builder(String serverId, String service) {
        return new BackendServerBuilder(serverId, service);
    }

    /**
     * Starts the server and its periodic announcements, also after a crash. Does nothing if the
     * server is running.
     */
    public synchronized void start() {
        if (current != null) {
            return;
        }
        BackendServerInstance started = new BackendServerInstance(options, port, this::routes);
        port = started.port();
        current = started;
        draining = false;
        if (announcer != null) {
            announce();
            started.scheduler().every(ANNOUNCE_PERIOD, this::announce);
        }
    }

    /** Returns the address on which the server accepts calls. */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Returns the server's id. */
    public String serverId() {
        return options.serverId;
    }

    /** Returns the record of the calls that the server ran, including those before a restart. */
    public BackendServerRuns runs() {
        return runs;
    }

    /** Returns whether the server is running. */
    public boolean running() {
        return current != null;
    }

    /**
     * Announces that the server is draining. Calls that still arrive are served and their latest
     * arrival is recorded.
     */
    public void drain() {
        draining = true;
        runs.drainStarted(options.clock.nanos());
        announce();
    }

    /** Suspends or resumes the announcements; the server keeps serving calls. */
    public void silent(boolean value) {
        silent = value;
    }

    /** Sets the status that the health endpoint returns, regardless of the server's state. */
    public void healthStatus(int status) {
        healthStatus.set(status);
    }

    /** Simulates a crash: closes all connections without a response. */
    public synchronized void crash() {
        BackendServerInstance crashed = current;
        current = null;
        if (crashed != null) {
            runs.crashed();
            crashed.abort();
        }
    }

    /** Completes the calls in progress, stops the server and withdraws its announcement. */
    @Override
    public synchronized void close() {
        BackendServerInstance closed = current;
        current = null;
        if (closed != null) {
            closed.close();
        }
        if (announcer != null) {
            announcer.withdraw();
            announcer.close();
        }
        if (downstream != null) {
            downstream.close();
        }
    }

    private void announce() {
        BackendServerInstance running = current;
        if (running != null && announcer != null && !silent) {
            String state = draining ? "draining" : running.warm() ? "ready" : "warming";
            announcer.announce(address(), state, running.slots().outstanding());
        }
    }

    private void routes(BackendServerInstance instance, io.javalin.config.RoutesConfig routes) {
        routes.get("/health", ctx -> probe(instance, ctx));
        for (HandlerType type :
                List.of(
                        HandlerType.GET,
                        HandlerType.POST,
                        HandlerType.PUT,
                        HandlerType.PATCH,
                        HandlerType.DELETE)) {
            routes.addHttpHandler(type, "/*", ctx -> call(instance, ctx));
        }
    }

    private void probe(BackendServerInstance instance, Context ctx) {
        CompletableFuture<Boolean> slotDone = instance.slots().occupy(options.probeCostMicros);
        ctx.future(() -> slotDone.thenAccept(done -> ctx.status(healthStatus.get())));
    }

    private void call(BackendServerInstance instance, Context ctx) {
        byte[] body = ctx.bodyAsBytes();
        if (ctx.path().contains(options.crashMarker)
                || new String(body, java.nio.charset.StandardCharsets.UTF_8)
                        .contains(options.crashMarker)) {
            crash();
            return;
        }
        String callId = ctx.header("Zinniaring-Call-Id");
        runs.started(callId == null ? "" : callId, ctx.path(), options.clock.nanos());
        long micros = instance.withWarmUpPenalty(instance.serviceMicros());
        CompletableFuture<Boolean> slotDone = instance.slots().occupy(micros);
        if (downstream == null && slotDone.isDone()) {
            answer(instance, ctx, callId, body);
            return;
        }
        ctx.future(() -> slotDone.thenCompose(done -> finish(instance, ctx, callId, body)));
    }

    private CompletableFuture<?> finish(
            BackendServerInstance instance, Context ctx, @Nullable String callId, byte[] body) {
        if (downstream == null) {
            answer(instance, ctx, callId, body);
            return CompletableFuture.completedFuture(true);
        }
        return downstream
                .call(ctx.headerMap(), body)
                .thenAccept(
                        status -> {
                            answer(instance, ctx, callId, body);
                            ctx.status(status);
                        });
    }

    private void answer(
            BackendServerInstance instance, Context ctx, @Nullable String callId, byte[] body) {
        runs.finished();
        if (callId != null) {
            ctx.header("Zinniaring-Call-Id", callId);
        }
        ctx.header("Zinniaring-Load", instance.slots().outstanding() + "/" + options.slots);
        ctx.header("Standin-Server", options.serverId);
        ctx.result(body);
    }

    static String urlOf(InetSocketAddress address) {
        return "http://" + textOf(address);
    }

    static String textOf(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    /** Returns the server id with its numbers of runs and crashes, for logs and results. */
    public Map<String, Object> counts() {
        return Map.of("server", options.serverId, "runs", runs.total(), "crashes", runs.crashes());
    }

    static Javalin createJavalin(
            java.util.function.Consumer<io.javalin.config.JavalinConfig> customizer) {
        return Javalin.create(
                config -> {
                    config.startup.showJavalinBanner = false;
                    config.startup.showOldJavalinVersionWarning = false;
                    config.startup.startupWatcherEnabled = false;
                    customizer.accept(config);
                });
    }

    static ExecutorScheduler scheduler(String serverId) {
        return new ExecutorScheduler("server-" + serverId, 2);
    }
}
