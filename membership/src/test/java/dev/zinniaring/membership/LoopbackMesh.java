package dev.zinniaring.membership;

import dev.zinniaring.kernel.ExecutorScheduler;
import dev.zinniaring.transport.IoLoop;
import dev.zinniaring.transport.LinkConditions;
import dev.zinniaring.transport.TcpNetwork;
import dev.zinniaring.transport.TransportException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/** Nodes with real sockets on the loopback interface that share I/O threads. */
final class LoopbackMesh implements AutoCloseable {
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(40);
    private static final int SEEDS = 3;

    final LinkConditions conditions = new LinkConditions();
    private final ExecutorScheduler scheduler = new ExecutorScheduler("mesh-timer", 2);
    private final List<IoLoop> loops = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final List<InetSocketAddress> seeds = new ArrayList<>();

    /** A started node. */
    record Node(TcpNetwork network, GossipMembership membership) {
        void kill() {
            membership.stop();
            network.close();
        }
    }

    LoopbackMesh(int ioThreads) throws TransportException {
        for (int i = 0; i < ioThreads; i++) {
            loops.add(IoLoop.open("mesh-io"));
        }
    }

    /**
     * Starts nodes {@code n0}, {@code n1}, ..., distributed over zones {@code z0}, {@code z1}, ...
     */
    List<Node> start(int count, int zones) throws TransportException {
        for (int i = 0; i < count; i++) {
            Node node = build("n" + i, "z" + i % zones, 1_000 + i, 0, i);
            if (seeds.size() < SEEDS) {
                seeds.add(node.network.self().controlAddress());
            }
            nodes.add(node);
        }
        return List.copyOf(nodes);
    }

    /** Restarts a killed node at the same address, as a process with a later life. */
    Node restart(Node killed) throws TransportException {
        var self = killed.membership.view().self();
        int port = self.peer().controlAddress().getPort();
        Node node = build(self.nodeId(), self.zone(), self.life() + 5_000, port, 99);
        nodes.add(node);
        return node;
    }

    List<Node> allExcept(List<Node> all, Node excluded) {
        return all.stream().filter(node -> node != excluded).toList();
    }

    /** Waits until each node sees the given number of live members; returns false on timeout. */
    boolean awaitAll(List<Node> all, int live) throws InterruptedException {
        return await(
                () -> all.stream().allMatch(n -> n.membership.view().liveMembers().size() == live));
    }

    boolean await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                return false;
            }
            Thread.sleep(10);
        }
        return true;
    }

    private Node build(String nodeId, String zone, long incarnation, int port, long seed)
            throws TransportException {
        SplittableRandom random = new SplittableRandom(seed);
        TcpNetwork network =
                TcpNetwork.builder()
                        .mesh("test")
                        .nodeId(nodeId)
                        .zone(zone)
                        .incarnation(incarnation)
                        .bind(new InetSocketAddress("127.0.0.1", port))
                        .scheduler(scheduler)
                        .random(random.split())
                        .conditions(conditions)
                        .loop(loops.get(nodes.size() % loops.size()))
                        .build();
        GossipMembership membership =
                GossipMembership.builder()
                        .network(network)
                        .scheduler(scheduler)
                        .random(random.split())
                        .seeds(seeds)
                        .build();
        network.start();
        membership.start();
        return new Node(network, membership);
    }

    @Override
    public void close() {
        nodes.forEach(Node::kill);
        loops.forEach(IoLoop::close);
        scheduler.close();
    }
}
