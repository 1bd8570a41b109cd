package dev.zinniaring.node;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Tables;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.Publisher;
import dev.zinniaring.standins.BackendServer;
import dev.zinniaring.standins.PlatformServer;
import dev.zinniaring.standins.ServiceTime;
import dev.zinniaring.store.MemoryPlatform;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * A mesh for local development: an in-memory platform, a node and two backend servers in one
 * process.
 */
final class DevMesh {
    private static final String MESH = "dev";
    private static final int CALL_PORT = 9_000;
    private static final int ADMIN_PORT = 9_100;
    private static final int PLATFORM_PORT = 8_700;
    private static final int SERVERS = 2;
    private static final long SERVICE_MICROS = 5_000;
    private static final Duration DRAIN = Duration.ofSeconds(5);

    private final PlatformServer platform;
    private final Node node;
    private final List<BackendServer> servers = new ArrayList<>();

    private DevMesh(PlatformServer platform, Node node) {
        this.platform = platform;
        this.node = node;
    }

    /** Starts all components and prints example requests. */
    static DevMesh start(PrintStream out) throws KernelException {
        LogSetup.configure(new NodeSettings.Log(false));
        MemoryPlatform memory = new MemoryPlatform(Clock.system());
        publish(memory);
        PlatformServer platform = platform(memory);
        Node node =
                Node.builder(settings(platform))
                        .platform(memory.tables(), memory.objects())
                        .build();
        DevMesh mesh = new DevMesh(platform, node);
        try {
            node.start();
        } catch (KernelException e) {
            mesh.close();
            throw e;
        }
        mesh.startServers();
        mesh.describe(out);
        return mesh;
    }

    private static PlatformServer platform(MemoryPlatform memory) throws KernelException {
        try {
            return PlatformServer.builder()
                    .address("127.0.0.1", PLATFORM_PORT)
                    .platform(memory)
                    .start();
        } catch (RuntimeException e) {
            throw new KernelException("the platform cannot listen on port " + PLATFORM_PORT, e);
        }
    }

    private static void publish(MemoryPlatform memory) throws KernelException {
        try {
            Publisher.builder(MESH, memory.tables(), memory.objects())
                    .author("dev")
                    .build()
                    .publish(tables());
        } catch (PublishException e) {
            throw new KernelException("the sample tables could not be published", e);
        }
    }

    private static Tables tables() {
        SortedSet<String> get = new TreeSet<>(List.of("GET"));
        SortedSet<String> post = new TreeSet<>(List.of("POST"));
        return Tables.of(
                List.of(new Rank("urgent", 0, 100, 0.4), new Rank("report", 1, 1, 0.1)),
                List.of(
                        new Route("shelf", "*", "/shelf", get, "urgent", true, 2_000, 2, "shelf"),
                        new Route("order", "*", "/order", post, "urgent", false, 5_000, 2, "shelf"),
                        new Route(
                                "report", "*", "/report", get, "report", true, 9_000, 1, "shelf")),
                List.of(new Pool("shelf", "shelf", BalancePolicy.LEAST_LOADED, 100, 1_000, 10)));
    }

    private static NodeSettings settings(PlatformServer platform) {
        return NodeSettings.builder()
                .mesh(MESH)
                .nodeId("dev-1")
                .callAddress(local(CALL_PORT))
                .adminAddress(local(ADMIN_PORT))
                .platform(
                        new NodeSettings.Platform(platform.tableUrl(), platform.objectUrl(), 2_000))
                .build();
    }

    private static InetSocketAddress local(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private void startServers() {
        for (int i = 1; i <= SERVERS; i++) {
            BackendServer server =
                    BackendServer.builder("shelf-" + i, "shelf")
                            .serviceTime(ServiceTime.exponential(SERVICE_MICROS))
                            .announceTo(node.announceAddress())
                            .build();
            server.start();
            servers.add(server);
        }
    }

    private void describe(PrintStream out) {
        String calls = "http://" + HopRequests.text(node.callAddress());
        String admin = "http://" + HopRequests.text(node.adminAddress());
        out.println("mesh \"" + MESH + "\" with one node and " + SERVERS + " backend servers");
        out.println("  call:     curl -i " + calls + "/shelf/17");
        out.println("  order:    curl -i -d flour -H 'Idempotency-Key: 1' " + calls + "/order");
        out.println("  status:   curl " + admin + "/status");
        out.println("  metrics:  curl " + admin + "/metrics");
        out.println("  platform: " + platform.tableUrl() + " and " + platform.objectUrl());
        out.println("press Ctrl-C to stop");
    }

    void close() {
        node.shutDown(DRAIN);
        servers.forEach(BackendServer::close);
        platform.close();
    }
}
