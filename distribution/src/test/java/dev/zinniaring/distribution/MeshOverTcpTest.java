package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ExecutorScheduler;
import dev.zinniaring.membership.GossipMembership;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.transport.TcpNetwork;
import dev.zinniaring.transport.TransportException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against components that work together only over the simulated network. */
class MeshOverTcpTest {
    private static final long WAIT_SECONDS = 30;

    private final SimPlatform platform = new SimPlatform();
    private final ExecutorService platformReads = Executors.newSingleThreadExecutor();
    private final List<Node> nodes = new ArrayList<>();

    private static final class Node {
        final ExecutorScheduler scheduler = new ExecutorScheduler("node", 2);
        TcpNetwork network;
        GossipMembership membership;
        VersionDistribution versions;
        EndpointDistribution endpoints;
    }

    @AfterEach
    void stop() {
        for (Node node : nodes) {
            node.endpoints.stop();
            node.versions.stop();
            node.membership.stop();
            node.network.close();
            node.scheduler.close();
        }
        platformReads.shutdownNow();
    }

    @Test
    void threeNodesInTwoZonesReceiveUpdatesWithASingleSeed() throws Exception {
        platform.publish(SimTables.of(20, 1));
        InetSocketAddress seed = start("a", "zone0", List.of());
        start("b", "zone0", List.of(seed));
        start("c", "zone1", List.of(seed));
        CountDownLatch updated = new CountDownLatch(nodes.size());
        CountDownLatch received = new CountDownLatch(nodes.size());
        for (Node node : nodes) {
            node.versions.subscribe(
                    version -> {
                        if (version.number() == 2) {
                            updated.countDown();
                        }
                    });
            node.endpoints.subscribe(
                    view -> {
                        if (view.of("service").size() == 1) {
                            received.countDown();
                        }
                    });
        }
        platform.publish(SimTables.of(20, 2));
        nodes.get(2)
                .endpoints
                .announce(
                        new Endpoints.LocalEndpoint(
                                "server", "service", 1, 1, EndpointState.READY, 0));
        assertThat(updated.await(WAIT_SECONDS, TimeUnit.SECONDS)).as(states()).isTrue();
        assertThat(received.await(WAIT_SECONDS, TimeUnit.SECONDS)).as(states()).isTrue();
    }

    private String states() {
        StringBuilder states = new StringBuilder();
        nodes.forEach(node -> states.append(node.versions.state()).append(node.endpoints.state()));
        return states.toString();
    }

    private InetSocketAddress start(String id, String zone, List<InetSocketAddress> seeds)
            throws TransportException {
        Node node = new Node();
        node.network =
                TcpNetwork.builder()
                        .mesh("mesh")
                        .nodeId(id)
                        .zone(zone)
                        .incarnation(1 + nodes.size())
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .scheduler(node.scheduler)
                        .build();
        node.membership =
                GossipMembership.builder()
                        .network(node.network)
                        .scheduler(node.scheduler)
                        .seeds(seeds)
                        .build();
        node.versions =
                VersionDistribution.builder()
                        .network(node.network)
                        .membership(node.membership)
                        .source(platform.source(zone))
                        .seeds(seeds)
                        .ownSeed(seeds.isEmpty())
                        .scheduler(node.scheduler)
                        .platformExecutor(platformReads)
                        .build();
        node.endpoints =
                EndpointDistribution.builder()
                        .network(node.network)
                        .membership(node.membership)
                        .scheduler(node.scheduler)
                        .callAddress("127.0.0.1:1")
                        .build();
        node.network.start();
        node.membership.start();
        node.versions.start();
        node.endpoints.start();
        nodes.add(node);
        return node.network.self().controlAddress();
    }
}
