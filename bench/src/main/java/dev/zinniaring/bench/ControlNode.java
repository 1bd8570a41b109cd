package dev.zinniaring.bench;

import dev.zinniaring.distribution.EndpointDistribution;
import dev.zinniaring.distribution.Endpoints.LocalEndpoint;
import dev.zinniaring.distribution.VersionDistribution;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.membership.GossipMembership;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.model.Version;
import dev.zinniaring.transport.TcpNetwork;
import dev.zinniaring.transport.TrafficCounters;
import dev.zinniaring.transport.TrafficCounters.Direction;
import dev.zinniaring.transport.TransportException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Random;

/**
 * The control subsystems of a node (transport, membership and distribution) on real sockets,
 * without the call path. One instance stands for one incarnation of the node.
 */
final class ControlNode implements AutoCloseable {
    private static final int SLOTS = 6;
    private static final int CONNECTIONS = 130;

    private final ControlMesh.NodeSpec spec;
    private final TcpNetwork network;
    private final GossipMembership membership;
    private final VersionDistribution versions;
    private final EndpointDistribution endpoints;

    ControlNode(
            ControlMesh.NodeSpec spec,
            ControlMesh.Dependencies dependencies,
            long incarnation,
            long seed) {
        this.spec = spec;
        network =
                TcpNetwork.builder()
                        .mesh(dependencies.mesh())
                        .nodeId(spec.nodeId())
                        .zone(spec.zone())
                        .incarnation(incarnation)
                        .bind(spec.control())
                        .scheduler(dependencies.scheduler())
                        .random(new Random(seed))
                        .conditions(dependencies.conditions())
                        .loop(dependencies.loop())
                        .build();
        membership =
                GossipMembership.builder()
                        .network(network)
                        .scheduler(dependencies.scheduler())
                        .clock(Clock.system())
                        .random(new Random(seed + 1))
                        .seeds(dependencies.seeds())
                        .build();
        versions =
                VersionDistribution.builder()
                        .network(network)
                        .membership(membership)
                        .source(dependencies.source())
                        .seeds(dependencies.seeds())
                        .ownSeed(dependencies.seeds().contains(spec.control()))
                        .scheduler(dependencies.scheduler())
                        .platformExecutor(dependencies.platformExecutor())
                        .random(new Random(seed + 2))
                        .build();
        endpoints =
                EndpointDistribution.builder()
                        .network(network)
                        .membership(membership)
                        .clock(Clock.system())
                        .scheduler(dependencies.scheduler())
                        .random(new Random(seed + 3))
                        .callAddress(spec.callAddress())
                        .build();
    }

    void start() throws ExperimentException {
        try {
            network.start();
        } catch (TransportException e) {
            throw new ExperimentException("node " + spec.nodeId() + " failed to start", e);
        }
        membership.start();
        versions.start();
        endpoints.start();
    }

    ControlMesh.NodeSpec spec() {
        return spec;
    }

    VersionDistribution versions() {
        return versions;
    }

    GossipMembership membership() {
        return membership;
    }

    EndpointDistribution endpoints() {
        return endpoints;
    }

    /** Returns the number of the active version, or 0 if there is none. */
    long versionNumber() {
        Optional<Version> version = versions.active();
        return version.map(Version::number).orElse(0L);
    }

    /** Announces the state of the backend server of this node. */
    void announce(EndpointState state) {
        endpoints.announce(
                new LocalEndpoint(
                        "server-" + spec.nodeId(), spec.service(), SLOTS, CONNECTIONS, state, 0));
    }

    /** Returns the bytes that this node has sent, either within its zone or to other zones. */
    long sentBytes(boolean crossZone) {
        return counters().total(Direction.SENT, crossZone).bytes();
    }

    TrafficCounters.Snapshot counters() {
        return network.counters().snapshot();
    }

    /** Stops the node at once without announcing it to the other nodes, like a crash. */
    @Override
    public void close() {
        network.close();
        endpoints.stop();
        versions.stop();
        membership.stop();
    }

    InetSocketAddress control() {
        return spec.control();
    }
}
