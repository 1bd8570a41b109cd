package dev.zinniaring.bench;

import dev.zinniaring.calls.ClientLimits;
import dev.zinniaring.calls.Configuration;
import dev.zinniaring.calls.HeaderNames;
import dev.zinniaring.calls.PooledHttpClient;
import dev.zinniaring.calls.ServerSettings;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.kernel.NamedThreads;
import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Tables;
import dev.zinniaring.sidecar.Announcement;
import dev.zinniaring.sidecar.ConfigurationSource;
import dev.zinniaring.sidecar.Sidecar;
import dev.zinniaring.sidecar.SidecarSettings;
import dev.zinniaring.standins.BackendServer;
import dev.zinniaring.standins.ServiceTime;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Six sidecars in two availability zones with a server each, as on the users' platform. Servers
 * that end come back after four seconds.
 */
final class SidecarMesh implements AutoCloseable {
    /** Path of calls that servers run; {@link #ENDING_PATH} ends the server that runs it. */
    static final String PATH = "/call";

    static final String ENDING_PATH = "/call/crash-the-server";
    static final String NODES_TABLE = "zinniaring-nodes";
    static final int NODES = 6;
    private static final String SERVICE = "shelf";
    private static final String CONFIGURATION_TABLE = "op";
    private static final int PEER_PORT = 20_102;
    private static final int SLOTS = 8;
    private static final long SERVICE_MICROS = 20_000;
    private static final int DEADLINE_MILLIS = 1_000;
    private static final Duration BACK_AFTER = Duration.ofSeconds(4);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
    private static final long OTHER_CALLS_PER_SECOND = 60;

    private final TableInMemory store = new TableInMemory();
    private final List<Node> nodes = new ArrayList<>();
    private final SplittableRandom random;
    private final ScheduledExecutorService timer =
            Executors.newScheduledThreadPool(2, NamedThreads.daemon("sidecar-mesh"));
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private final AtomicInteger othersServed = new AtomicInteger();

    private record Node(
            String id,
            Sidecar sidecar,
            EventLoopGroup group,
            BackendServer server,
            AtomicInteger starts,
            AtomicBoolean returning) {}

    private SidecarMesh(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Starts the mesh and waits until each node is ready and knows all servers. */
    static SidecarMesh start(long seed) throws ExperimentException {
        SidecarMesh mesh = new SidecarMesh(seed);
        mesh.store.write(CONFIGURATION_TABLE, "config", new byte[] {1}, false);
        try {
            for (int i = 0; i < NODES; i++) {
                mesh.add(i);
            }
        } catch (KernelException e) {
            throw new ExperimentException("a node cannot listen: " + e.getMessage());
        }
        mesh.timer.scheduleWithFixedDelay(mesh::keepServers, 0, 200, TimeUnit.MILLISECONDS);
        Await.until(
                () -> mesh.nodes.stream().allMatch(SidecarMesh::complete),
                READY_TIMEOUT,
                () -> "six nodes that know six servers");
        return mesh;
    }

    private static boolean complete(Node node) {
        return CompletableFuture.supplyAsync(
                        () ->
                                node.sidecar().ready()
                                        && node.sidecar().state().servers().size() == NODES,
                        node.group().next())
                .join();
    }

    private void add(int index) throws KernelException {
        String zone = "zone-" + index % 2;
        BackendServer server =
                BackendServer.builder("i" + index, SERVICE)
                        .slots(SLOTS)
                        .serviceTime(ServiceTime.fixed(SERVICE_MICROS))
                        .build();
        server.start();
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        InetSocketAddress peer =
                new InetSocketAddress(
                        "127.79.%d.%d".formatted(ProcessHandle.current().pid() % 250, 1 + index),
                        PEER_PORT);
        SidecarSettings settings =
                new SidecarSettings(
                        "n" + index,
                        zone,
                        SERVICE,
                        server.address(),
                        any,
                        peer,
                        peer,
                        any,
                        any,
                        any,
                        Duration.ofSeconds(1),
                        0.2,
                        60,
                        Duration.ofSeconds(10));
        EventLoopGroup group = new NioEventLoopGroup(1);
        Sidecar sidecar =
                new Sidecar(
                        settings,
                        store,
                        new ConfigurationSource(
                                CONFIGURATION_TABLE, "config", bytes -> configuration()),
                        HeaderNames.builder().build(),
                        group,
                        timer,
                        new PooledHttpClient(group, Clock.system()),
                        new PrometheusRegistry(),
                        Clock.system(),
                        random.split());
        sidecar.start();
        nodes.add(
                new Node(
                        "n" + index,
                        sidecar,
                        group,
                        server,
                        new AtomicInteger(1),
                        new AtomicBoolean()));
    }

    private static Configuration configuration() {
        Route route =
                new Route(
                        "r",
                        "127.0.0.1",
                        PATH + "/",
                        new TreeSet<>(),
                        "k",
                        true,
                        DEADLINE_MILLIS,
                        1,
                        "p",
                        DEADLINE_MILLIS / 3,
                        new TreeMap<>());
        Pool pool = new Pool("p", SERVICE, BalancePolicy.LEAST_LOADED, 1_000, 1_000, 0);
        Tables tables = Tables.of(List.of(new Rank("k", 0, 1, 0)), List.of(route), List.of(pool));
        return new Configuration(
                1,
                tables,
                Map.of(SERVICE, new ServerSettings("/health", 100)),
                ClientLimits.DEFAULT);
    }

    /** Announces the servers that run, and brings back those that have ended. */
    private void keepServers() {
        for (Node node : nodes) {
            if (node.server().running()) {
                int starts = node.starts().get();
                Announcement announcement =
                        new Announcement(
                                node.server().serverId() + "-" + starts,
                                starts,
                                System.nanoTime(),
                                SERVICE,
                                node.server().address(),
                                SLOTS,
                                false,
                                0);
                node.group().next().execute(() -> node.sidecar().handleAnnouncement(announcement));
            } else if (node.returning().compareAndSet(false, true)) {
                timer.schedule(
                        () -> {
                            node.starts().incrementAndGet();
                            node.server().start();
                            node.returning().set(false);
                        },
                        BACK_AFTER.toMillis(),
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Sends a call to a random node; completes with the status, 0 if there was no answer. */
    CompletableFuture<Integer> call(String path, String caller) {
        Node node = nodes.get(draw(NODES));
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://127.0.0.1:"
                                                + node.sidecar().callAddress().getPort()
                                                + path))
                        .header("X-Customer", caller)
                        .header("Zinniaring-Call-Id", "c" + calls.incrementAndGet())
                        .timeout(Duration.ofMillis(2L * DEADLINE_MILLIS))
                        .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .thenApply(HttpResponse::statusCode)
                .exceptionally(failure -> 0);
    }

    /** Starts to send 60 calls of other callers a second, until the mesh is closed. */
    void sendOthers() {
        timer.scheduleAtFixedRate(
                () ->
                        call(PATH + "/" + draw(20), "caller-" + draw(5))
                                .thenAccept(
                                        status -> {
                                            others.incrementAndGet();
                                            othersServed.addAndGet(status == 200 ? 1 : 0);
                                        }),
                0,
                1_000 / OTHER_CALLS_PER_SECOND,
                TimeUnit.MILLISECONDS);
    }

    private synchronized int draw(int bound) {
        return random.nextInt(bound);
    }

    /** Returns the share of the other callers' calls that were served. */
    double othersServedShare() {
        return (double) othersServed.get() / Math.max(1, others.get());
    }

    /** Returns how often servers have ended. */
    long serversEnded() {
        return nodes.stream().mapToLong(node -> node.server().runs().crashes()).sum();
    }

    /** Writes a row into the table of nodes, as another writer might. */
    void writeRow(String key, byte[] value) {
        store.write(NODES_TABLE, key, value, false);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        nodes.forEach(node -> node.group().shutdownGracefully(0, 1, TimeUnit.SECONDS));
        nodes.forEach(node -> node.server().close());
    }
}
