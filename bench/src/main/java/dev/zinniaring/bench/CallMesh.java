package dev.zinniaring.bench;

import dev.zinniaring.admission.RetryPolicy;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.model.Tables;
import dev.zinniaring.node.AdmissionFactory;
import dev.zinniaring.node.Node;
import dev.zinniaring.node.NodeBuilder;
import dev.zinniaring.node.NodeSettings;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.Publisher;
import dev.zinniaring.standins.BackendServer;
import dev.zinniaring.standins.BackendServerBuilder;
import dev.zinniaring.store.MemoryPlatform;
import dev.zinniaring.transport.LinkConditions;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;

/**
 * Runs complete nodes on loopback in one JVM, with simulated backend servers and an in-memory
 * platform. The first node is the seed of the mesh.
 *
 * <pre>{@code
 * try (CallMesh mesh = CallMesh.seeded(seed)) {
 *     Node entry = mesh.addNode("entry", "pt-a");
 *     Node owner = mesh.addNode("owner", "pt-a");
 *     mesh.addServer(owner, "shelf-1", "shelf", server -> server.slots(6));
 *     mesh.publish(tables);
 *     mesh.awaitReady(1);
 * }
 * }</pre>
 */
final class CallMesh implements AutoCloseable {
    static final Duration READY_LIMIT = Duration.ofSeconds(20);
    private static final Duration DRAIN_SPREAD = Duration.ofSeconds(1);
    static final String MESH = "bench";

    private final MemoryPlatform platform = new MemoryPlatform(Clock.system());
    private final LinkConditions conditions = new LinkConditions();
    private final List<Node> nodes = new ArrayList<>();
    private final List<BackendServer> servers = new ArrayList<>();
    private final List<InetSocketAddress> seeds = new ArrayList<>();
    private final Map<String, ZonePlatform> zonePlatforms = new HashMap<>();
    private final long seed;
    private @Nullable AdmissionFactory admissions;
    private @Nullable RetryPolicy retryPolicy;

    private CallMesh(long seed) {
        this.seed = seed;
    }

    /** Returns a mesh without nodes. */
    static CallMesh seeded(long seed) {
        return new CallMesh(seed);
    }

    /** Sets the admission control of nodes that are added afterwards. */
    CallMesh admissions(AdmissionFactory factory) {
        admissions = factory;
        return this;
    }

    /** Sets the retry policy of nodes that are added afterwards. */
    CallMesh retryPolicy(RetryPolicy policy) {
        retryPolicy = policy;
        return this;
    }

    /** Starts a node in an availability zone. */
    Node addNode(String nodeId, String zone) throws ExperimentException {
        NodeSettings settings =
                NodeSettings.builder().mesh(MESH).nodeId(nodeId).zone(zone).seeds(seeds).build();
        ZonePlatform access = zonePlatform(zone);
        NodeBuilder builder =
                Node.builder(settings)
                        .platform(access.tables(), access.objects())
                        .conditions(conditions)
                        .seed(seed + nodes.size());
        if (admissions != null) {
            builder.admissions(admissions);
        }
        if (retryPolicy != null) {
            builder.retryPolicy(retryPolicy);
        }
        try {
            Node node = builder.build();
            node.start();
            nodes.add(node);
            if (seeds.isEmpty()) {
                seeds.add(node.controlAddress());
            }
            return node;
        } catch (KernelException e) {
            throw new ExperimentException("node " + nodeId + " failed to start", e);
        }
    }

    /** Starts a backend server that announces itself to a node. */
    BackendServer addServer(
            Node node,
            String serverId,
            String service,
            UnaryOperator<BackendServerBuilder> options) {
        BackendServer server =
                options.apply(BackendServer.builder(serverId, service))
                        .announceTo(reachable(node.announceAddress()))
                        .build();
        server.start();
        servers.add(server);
        return server;
    }

    /** Drains a backend server, waits for its calls to finish and stops it and its node. */
    void drainAndStop(Node node, BackendServer server, Duration limit) throws ExperimentException {
        server.drain();
        Await.pause(DRAIN_SPREAD);
        Await.until(
                () -> server.runs().total() == server.runs().completed(),
                limit,
                () -> "completion of the calls of " + server.serverId());
        server.close();
        node.shutDown(limit);
        node.close();
        unregister(node, server);
    }

    /** Stops a node and its backend server at once; calls in flight are broken off. */
    void kill(Node node, BackendServer server) {
        node.close();
        server.crash();
        unregister(node, server);
        server.close();
    }

    private void unregister(Node node, BackendServer server) {
        nodes.remove(node);
        servers.remove(server);
    }

    /** Publishes tables and returns the number of the new version. */
    long publish(Tables tables) throws ExperimentException {
        try {
            return Publisher.builder(MESH, platform.tables(), platform.objects())
                    .author("bench")
                    .build()
                    .publish(tables)
                    .number();
        } catch (PublishException e) {
            throw new ExperimentException("tables could not be published", e);
        }
    }

    /**
     * Waits until every node has activated the given version or a later one and knows every backend
     * server.
     */
    void awaitReady(long number) throws ExperimentException {
        Await.until(
                () -> nodes.stream().allMatch(node -> ready(node, number)),
                READY_LIMIT,
                () -> "version " + number + " and " + servers.size() + " servers on every node");
    }

    private boolean ready(Node node, long number) {
        return node.versions().active().map(version -> version.number() >= number).orElse(false)
                && node.endpoints().view().all().size() >= servers.size();
    }

    /** Returns the access of a zone to the platform. */
    ZonePlatform zonePlatform(String zone) {
        return zonePlatforms.computeIfAbsent(zone, key -> new ZonePlatform(platform));
    }

    MemoryPlatform platform() {
        return platform;
    }

    LinkConditions conditions() {
        return conditions;
    }

    List<Node> nodes() {
        return nodes;
    }

    List<BackendServer> servers() {
        return servers;
    }

    /** Returns the address with the loopback IP address in place of a wildcard. */
    static InetSocketAddress reachable(InetSocketAddress address) {
        if (address.getAddress().isAnyLocalAddress()) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), address.getPort());
        }
        return address;
    }

    @Override
    public void close() {
        servers.parallelStream().forEach(BackendServer::close);
        nodes.parallelStream().forEach(Node::close);
    }
}
