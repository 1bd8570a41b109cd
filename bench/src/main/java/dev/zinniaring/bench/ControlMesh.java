package dev.zinniaring.bench;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.ExecutorScheduler;
import dev.zinniaring.kernel.NamedThreads;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.publish.PlatformVersionSource;
import dev.zinniaring.publish.Publisher;
import dev.zinniaring.publish.VersionSource;
import dev.zinniaring.standins.PlatformServer;
import dev.zinniaring.store.HttpObjectStore;
import dev.zinniaring.store.HttpTableService;
import dev.zinniaring.store.PlatformHttp;
import dev.zinniaring.store.RequestCounts;
import dev.zinniaring.transport.IoLoop;
import dev.zinniaring.transport.LinkConditions;
import dev.zinniaring.transport.TransportException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Runs the control subsystems of many nodes on loopback in one JVM, with a simulated platform over
 * HTTP. Each node has its own loopback address. The nodes share threads, so that the measured cost
 * per node is that of its own work.
 */
final class ControlMesh implements AutoCloseable {
    static final String MESH = "bench";
    private static final int SEEDS_PER_ZONE = 3;
    private static final int SCHEDULER_THREADS = 4;
    private static final int PLATFORM_THREADS = 8;
    private static final int IO_LOOPS = 3;
    private static final int CALL_PORT = 8080;

    private final PlatformServer platform;
    private final RequestCounts nodeRequests = new RequestCounts();
    private final RequestCounts operatorRequests = new RequestCounts();
    private final PlatformHttp nodeHttp;
    private final PlatformHttp operatorHttp;
    private final ExecutorScheduler scheduler =
            new ExecutorScheduler("bench-scheduler", SCHEDULER_THREADS);
    private final ExecutorService platformExecutor =
            Executors.newFixedThreadPool(PLATFORM_THREADS, NamedThreads.daemon("bench-platform"));
    private final List<IoLoop> loops = new ArrayList<>();
    private final LinkConditions conditions = new LinkConditions();
    private final List<NodeSpec> specs;
    private final Map<String, ControlNode> nodes = new ConcurrentHashMap<>();
    private final Random random;
    private long nextIncarnation = Clock.system().now().toEpochMilli();

    /**
     * Identity and address of a node.
     *
     * @param nodeId unique in the mesh
     * @param zone availability zone
     * @param service service of its backend server
     * @param control control address
     */
    record NodeSpec(String nodeId, String zone, String service, InetSocketAddress control) {
        String callAddress() {
            return control.getAddress().getHostAddress() + ":" + CALL_PORT;
        }
    }

    /** Dependencies that the mesh passes to a node. */
    record Dependencies(
            String mesh,
            List<InetSocketAddress> seeds,
            Scheduler scheduler,
            Executor platformExecutor,
            LinkConditions conditions,
            VersionSource source,
            IoLoop loop) {}

    private ControlMesh(List<NodeSpec> specs, long seed) throws ExperimentException {
        this.specs = specs;
        random = new Random(seed);
        platform = PlatformServer.builder().start();
        nodeHttp = PlatformHttp.builder().observer(nodeRequests).build();
        operatorHttp = PlatformHttp.builder().observer(operatorRequests).build();
        try {
            for (int i = 0; i < IO_LOOPS; i++) {
                loops.add(IoLoop.open("bench-io-" + i));
            }
        } catch (TransportException e) {
            throw new ExperimentException("I/O loops failed to open", e);
        }
    }

    /** Returns a mesh with the nodes of a deployment; none is started. */
    static ControlMesh of(Deployment deployment, long seed) throws ExperimentException {
        ControlMesh mesh = new ControlMesh(specs(deployment, freePort()), seed);
        mesh.conditions(deployment.zones(), deployment.oneWay(), 0);
        return mesh;
    }

    /**
     * Returns a mesh of {@code nodes} nodes spread evenly over zones and services; none is started.
     */
    static ControlMesh of(List<String> zones, int nodes, int services, long seed)
            throws ExperimentException {
        int port = freePort();
        List<NodeSpec> specs = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            String zone = zones.get(i % zones.size());
            specs.add(
                    new NodeSpec(
                            String.format("node-%04d", i),
                            zone,
                            "service-" + i % services,
                            address(i, port)));
        }
        return new ControlMesh(specs, seed);
    }

    private static List<NodeSpec> specs(Deployment deployment, int port) {
        List<NodeSpec> specs = new ArrayList<>();
        for (Deployment.Service service : deployment.services()) {
            for (int i = 0; i < service.servers(); i++) {
                int index = specs.size();
                String nodeId = "node-" + service.name() + "-" + i;
                String zone = deployment.zoneOf(index);
                specs.add(new NodeSpec(nodeId, zone, service.name(), address(index, port)));
            }
        }
        return specs;
    }

    private static InetSocketAddress address(int index, int port) {
        return new InetSocketAddress("127.1." + index / 250 + "." + (1 + index % 250), port);
    }

    private static int freePort() throws ExperimentException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new ExperimentException("no free port found", e);
        }
    }

    /** Sets delay, jitter (a fifth of the delay) and loss rate of all links between zones. */
    void conditions(List<String> zones, Duration oneWay, double loss) {
        for (String zone : zones) {
            for (String other : zones) {
                if (!zone.equals(other)) {
                    conditions.set(
                            zone,
                            other,
                            new LinkConditions.Condition(oneWay, oneWay.dividedBy(5), loss, false));
                }
            }
        }
    }

    /** Partitions a zone from all others, until {@link #conditions} resets the links. */
    void partition(String zone) {
        for (NodeSpec spec : specs) {
            if (!spec.zone().equals(zone)) {
                conditions.cutBoth(zone, spec.zone());
            }
        }
    }

    /** Starts a new incarnation of every node. */
    void startAll() throws ExperimentException {
        for (NodeSpec spec : specs) {
            start(spec);
        }
    }

    /** Starts a new incarnation of a node and announces its backend server as ready. */
    ControlNode start(NodeSpec spec) throws ExperimentException {
        IoLoop loop = loops.get(Math.floorMod(spec.nodeId().hashCode(), loops.size()));
        Dependencies dependencies =
                new Dependencies(
                        MESH,
                        seeds(),
                        scheduler,
                        platformExecutor,
                        conditions,
                        new PlatformVersionSource(
                                MESH,
                                new HttpTableService(nodeHttp, platform.tableUrl()),
                                new HttpObjectStore(nodeHttp, platform.objectUrl()),
                                new Random(random.nextLong())),
                        loop);
        nextIncarnation = Math.max(nextIncarnation + 1, Clock.system().now().toEpochMilli());
        ControlNode node = new ControlNode(spec, dependencies, nextIncarnation, random.nextLong());
        nodes.put(spec.nodeId(), node);
        node.start();
        node.announce(EndpointState.READY);
        return node;
    }

    /** Stops a node at once without announcing it to the other nodes, like a crash. */
    void kill(NodeSpec spec) {
        ControlNode node = nodes.remove(spec.nodeId());
        if (node != null) {
            node.close();
        }
    }

    private List<InetSocketAddress> seeds() {
        Map<String, Integer> perZone = new java.util.HashMap<>();
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (NodeSpec spec : specs) {
            if (perZone.merge(spec.zone(), 1, Integer::sum) <= SEEDS_PER_ZONE) {
                seeds.add(spec.control());
            }
        }
        return seeds;
    }

    /** Returns a publisher for this mesh. */
    Publisher publisher() {
        return Publisher.builder(
                        MESH,
                        new HttpTableService(operatorHttp, platform.tableUrl()),
                        new HttpObjectStore(operatorHttp, platform.objectUrl()))
                .author("bench")
                .build();
    }

    List<NodeSpec> specs() {
        return specs;
    }

    List<ControlNode> nodes() {
        return List.copyOf(nodes.values());
    }

    PlatformServer platform() {
        return platform;
    }

    /** Returns the counters of platform requests made by nodes, without those of publishers. */
    RequestCounts nodeRequests() {
        return nodeRequests;
    }

    VersionSource source() {
        return new PlatformVersionSource(
                MESH,
                new HttpTableService(nodeHttp, platform.tableUrl()),
                new HttpObjectStore(nodeHttp, platform.objectUrl()),
                new Random(random.nextLong()));
    }

    ExecutorScheduler scheduler() {
        return scheduler;
    }

    /** Returns the bytes that all nodes have sent, either within zones or across zones. */
    long sentBytes(boolean crossZone) {
        return nodes.values().stream().mapToLong(node -> node.sentBytes(crossZone)).sum();
    }

    /** Returns the bytes exchanged between nodes and platform in both directions. */
    long platformBytes() {
        return nodeRequests.sentBytes() + nodeRequests.receivedBytes();
    }

    /** Waits until every started node has activated the given version or a later one. */
    void awaitVersion(long number, Duration limit) throws ExperimentException {
        Await.until(
                () -> nodes.values().stream().allMatch(node -> node.versionNumber() >= number),
                limit,
                () -> "version " + number + " on every node");
    }

    /** Waits until every started node knows all members and all endpoints. */
    void awaitFullView(Duration limit) throws ExperimentException {
        int size = nodes.size();
        Await.until(
                () ->
                        nodes.values().stream()
                                .allMatch(
                                        node ->
                                                node.membership().view().liveMembers().size()
                                                                == size
                                                        && node.endpoints().view().all().size()
                                                                == size),
                limit,
                () -> "all " + size + " members and endpoints on every node");
    }

    @Override
    public void close() {
        nodes.values().forEach(ControlNode::close);
        nodes.clear();
        scheduler.close();
        platformExecutor.shutdownNow();
        loops.forEach(IoLoop::close);
        nodeHttp.close();
        operatorHttp.close();
        platform.close();
    }
}
