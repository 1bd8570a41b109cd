package dev.zinniaring.node;

import dev.zinniaring.admission.BudgetedRetry;
import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.admission.UnlimitedAdmission;
import dev.zinniaring.distribution.EndpointView;
import dev.zinniaring.distribution.Endpoints;
import dev.zinniaring.distribution.Versions;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.ExecutorScheduler;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Tables;
import dev.zinniaring.model.Version;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Call paths of several nodes that share versions and endpoints in memory. */
final class TestMesh implements AutoCloseable {
    static final Version VERSION = Version.of(1, tables());

    private final List<Consumer<EndpointView>> listeners = new CopyOnWriteArrayList<>();
    private final Map<String, EndpointRecord> records = new ConcurrentHashMap<>();
    private final List<TestNode> nodes = new ArrayList<>();
    private final ExecutorScheduler scheduler = new ExecutorScheduler("test", 2);

    /** The call path and the announcements API of one node. */
    final class TestNode {
        final PrometheusRegistry registry = new PrometheusRegistry();
        final CallsPlugin calls;
        final LocalServers servers;
        final AnnouncementsPlugin announcements;

        private final Ports ports;

        private TestNode(NodeSettings settings) throws KernelException {
            ports = Ports.open(settings);
            NodeEndpoints endpoints = new NodeEndpoints(settings);
            CrashGuard guard = CrashGuard.builder().nodeId(settings.nodeId()).build();
            servers =
                    new LocalServers(
                            endpoints,
                            (slots, connections, ranks, pool, before) ->
                                    new UnlimitedAdmission(slots),
                            guard,
                            Clock.system());
            calls =
                    new CallsPlugin(
                            new CallsDependencies(
                                    settings,
                                    ports,
                                    new FixedVersions(),
                                    endpoints,
                                    servers,
                                    guard,
                                    () -> {},
                                    new BudgetedRetry(0),
                                    scheduler,
                                    registry,
                                    Clock.system()));
            endpoints.callAddress = HopRequests.text(ports.peerCallAddress());
            announcements = new AnnouncementsPlugin(settings.announceAddress(), servers, scheduler);
            calls.start();
            announcements.start();
        }

        String url(String path) {
            return "http://" + HopRequests.text(ports.callAddress()) + path;
        }

        /** Returns the address for calls of other nodes. */
        InetSocketAddress ownerAddress() {
            return ports.peerCallAddress();
        }

        /** Registers a backend server without the announcements API. */
        void serve(String serverId, String service, InetSocketAddress address) {
            servers.announce(
                    serverId,
                    new Announcement(service, address, 6, 100, 0, EndpointState.READY, 0));
        }
    }

    private static Tables tables() {
        Rank urgent = new Rank("urgent", 0, 100, 0.4);
        Rank low = new Rank("low", 1, 1, 0.1);
        Pool pool = new Pool("katalog", "katalog", BalancePolicy.ROUND_ROBIN, 100, 1_000, 100);
        return Tables.of(
                List.of(urgent, low),
                List.of(
                        route("read", "/read", "low", true, 5_000),
                        route("write", "/write", "urgent", false, 5_000),
                        route("short", "/short", "urgent", false, 300)),
                List.of(pool));
    }

    private static Route route(
            String name, String prefix, String rank, boolean idempotent, int deadlineMillis) {
        return new Route(
                name, "*", prefix, new TreeSet<>(), rank, idempotent, deadlineMillis, 2, "katalog");
    }

    TestNode node(String nodeId) throws KernelException {
        return node(nodeId, Limits.DEFAULT);
    }

    TestNode node(String nodeId, Limits limits) throws KernelException {
        TestNode node = new TestNode(NodeSettings.builder().nodeId(nodeId).limits(limits).build());
        nodes.add(node);
        return node;
    }

    /** Registers a backend server of a node that the test plays. */
    void servePeer(String serverId, InetSocketAddress address) {
        records.put(
                serverId,
                new EndpointRecord(
                        serverId,
                        "katalog",
                        "peer",
                        "zone",
                        HopRequests.text(address),
                        1,
                        1,
                        6,
                        100,
                        EndpointState.READY,
                        0));
        changed();
    }

    List<EndpointRecord> records() {
        return List.copyOf(records.values());
    }

    @Override
    public void close() {
        for (TestNode node : nodes) {
            node.announcements.stop();
            node.calls.stop();
        }
        scheduler.close();
    }

    private void changed() {
        for (Consumer<EndpointView> listener : listeners) {
            listener.accept(new View());
        }
    }

    private final class View implements EndpointView {
        @Override
        public List<EndpointRecord> of(String service) {
            return all().stream().filter(record -> record.service().equals(service)).toList();
        }

        @Override
        public Collection<EndpointRecord> all() {
            return records();
        }
    }

    private final class NodeEndpoints implements Endpoints {
        private final NodeSettings settings;
        private String callAddress = "";

        NodeEndpoints(NodeSettings settings) {
            this.settings = settings;
        }

        @Override
        public EndpointView view() {
            return new View();
        }

        @Override
        public void subscribe(Consumer<EndpointView> listener) {
            listeners.add(listener);
        }

        @Override
        public void announce(LocalEndpoint server) {
            records.put(
                    server.serverId(),
                    new EndpointRecord(
                            server.serverId(),
                            server.service(),
                            settings.nodeId(),
                            settings.zone(),
                            callAddress,
                            1,
                            1,
                            server.slots(),
                            server.connections(),
                            server.state(),
                            server.warmUpMillis()));
            changed();
        }

        @Override
        public void withdraw(String serverId) {
            records.remove(serverId);
            changed();
        }
    }

    private static final class FixedVersions implements Versions {
        @Override
        public Optional<Version> active() {
            return Optional.of(VERSION);
        }

        @Override
        public void subscribe(Consumer<Version> listener) {}
    }

    static void drain(TestNode node, Duration limit) {
        node.announcements.drain(limit);
        node.calls.drain(limit);
    }
}
