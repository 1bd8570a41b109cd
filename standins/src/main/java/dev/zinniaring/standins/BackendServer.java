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
 * A fake backend server for tests and experiments. It answers each call with the call's body and
 * records what it ran by call id.
 *
 * <pre>{@code
 * BackendServer server = BackendServer.builder("s1", "katalog")
 *         .slots(18).serviceTime(ServiceTime.exponential(5_000)).announceTo(node).build();
 * server.start();
 * }</pre>
 */
public final class BackendServer implements AutoCloseable {
    private static final Duration ANNOUNCE_PERIOD = Duration.ofSeconds(1);

    private final BackendServerBuilder parts;
    private final BackendServerRuns runs = new BackendServerRuns();
    private final AtomicInteger healthStatus = new AtomicInteger(200);
    private final @Nullable BackendServerAnnouncer announcer;
    private final @Nullable BackendServerNext next;
    private volatile @Nullable BackendServerLife life;
    private volatile boolean draining;
    private volatile boolean silent;
    private int port;

    BackendServer(BackendServerBuilder parts) {
        this.parts = parts;
        this.port = parts.port;
        this.announcer =
                parts.announceTo == null
                        ? null
                        : new BackendServerAnnouncer(parts, parts.announceTo);
        this.next =
                parts.nextNode == null
                        ? null
                        : new BackendServerNext(parts.nextNode, parts.nextPath);
    }

    /** Returns a builder for a server with an id, unique in the mesh. */
    public static BackendServerBuilder builder(String serverId, String service) {
        return new BackendServerBuilder(serverId, service);
    }

    /** Starts the server and its announcements. Also starts it again after a crash. */
    public synchronized void start() {
        if (life != null) {
            return;
        }
        BackendServerLife started = new BackendServerLife(parts, port, this::routes);
        port = started.port();
        life = started;
        draining = false;
        if (announcer != null) {
            announce();
            started.scheduler().every(ANNOUNCE_PERIOD, this::announce);
        }
    }

    /** Returns where the server takes calls. */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Returns the server's id. */
    public String serverId() {
        return parts.serverId;
    }

    /** Returns what the server ran. */
    public BackendServerRuns runs() {
        return runs;
    }

    /** Returns whether the server is up. */
    public boolean running() {
        return life != null;
    }

    /** Announces that the server takes no new work; what arrives is still served, and counted. */
    public void drain() {
        draining = true;
        runs.drainStarted(parts.clock.nanos());
        announce();
    }

    /** Stops or resumes the announcements without stopping the server. */
    public void silent(boolean value) {
        silent = value;
    }

    /** Makes the health endpoint answer a status, whatever the server's state. */
    public void healthStatus(int status) {
        healthStatus.set(status);
    }

    /** Dies at once: closes all connections without an answer. */
    public synchronized void crash() {
        BackendServerLife crashed = life;
        life = null;
        if (crashed != null) {
            runs.crashed();
            crashed.abort();
        }
    }

    /** Finishes what runs, withdraws and stops. */
    @Override
    public synchronized void close() {
        BackendServerLife closed = life;
        life = null;
        if (closed != null) {
            closed.close();
        }
        if (announcer != null) {
            announcer.withdraw();
            announcer.close();
        }
        if (next != null) {
            next.close();
        }
    }

    private void announce() {
        BackendServerLife now = life;
        if (now != null && announcer != null && !silent) {
            String state = draining ? "draining" : now.warm() ? "ready" : "warming";
            announcer.announce(address(), state, now.slots().outstanding());
        }
    }

    private void routes(BackendServerLife self, io.javalin.config.RoutesConfig routes) {
        routes.get("/health", ctx -> probe(self, ctx));
        for (HandlerType type :
                List.of(
                        HandlerType.GET,
                        HandlerType.POST,
                        HandlerType.PUT,
                        HandlerType.PATCH,
                        HandlerType.DELETE)) {
            routes.addHttpHandler(type, "/*", ctx -> call(self, ctx));
        }
    }

    private void probe(BackendServerLife self, Context ctx) {
        CompletableFuture<Boolean> worked = self.slots().work(parts.probeCostMicros);
        ctx.future(() -> worked.thenAccept(done -> ctx.status(healthStatus.get())));
    }

    private void call(BackendServerLife self, Context ctx) {
        byte[] body = ctx.bodyAsBytes();
        if (ctx.path().contains(parts.crashMarker)
                || new String(body, java.nio.charset.StandardCharsets.UTF_8)
                        .contains(parts.crashMarker)) {
            crash();
            return;
        }
        String callId = ctx.header("Zinniaring-Call-Id");
        runs.started(callId == null ? "" : callId, ctx.path(), parts.clock.nanos());
        long micros = self.stretched(self.serviceMicros());
        CompletableFuture<Boolean> worked = self.slots().work(micros);
        if (next == null && worked.isDone()) {
            answer(self, ctx, callId, body);
            return;
        }
        ctx.future(() -> worked.thenCompose(done -> finish(self, ctx, callId, body)));
    }

    private CompletableFuture<?> finish(
            BackendServerLife self, Context ctx, @Nullable String callId, byte[] body) {
        if (next == null) {
            answer(self, ctx, callId, body);
            return CompletableFuture.completedFuture(true);
        }
        return next.call(ctx.headerMap(), body)
                .thenAccept(
                        status -> {
                            answer(self, ctx, callId, body);
                            ctx.status(status);
                        });
    }

    private void answer(BackendServerLife self, Context ctx, @Nullable String callId, byte[] body) {
        runs.finished();
        if (callId != null) {
            ctx.header("Zinniaring-Call-Id", callId);
        }
        ctx.header("Zinniaring-Load", self.slots().outstanding() + "/" + parts.slots);
        ctx.header("Standin-Server", parts.serverId);
        ctx.result(body);
    }

    static String urlOf(InetSocketAddress address) {
        return "http://" + textOf(address);
    }

    static String textOf(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    /** Returns counts for logs and results. */
    public Map<String, Object> counts() {
        return Map.of("server", parts.serverId, "runs", runs.total(), "crashes", runs.crashes());
    }

    static Javalin quiet(java.util.function.Consumer<io.javalin.config.JavalinConfig> setUp) {
        return Javalin.create(
                config -> {
                    config.startup.showJavalinBanner = false;
                    config.startup.showOldJavalinVersionWarning = false;
                    config.startup.startupWatcherEnabled = false;
                    setUp.accept(config);
                });
    }

    static ExecutorScheduler scheduler(String serverId) {
        return new ExecutorScheduler("server-" + serverId, 2);
    }
}
