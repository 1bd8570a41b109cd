package dev.zinniaring.bench;

import dev.zinniaring.distribution.EndpointDistribution;
import dev.zinniaring.distribution.Endpoints.LocalServer;
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

/** One life of a node's control subsystems, without its call path, on real sockets. */
final class ControlNode implements AutoCloseable {
    private static final int SLOTS = 6;
    private static final int CONNECTIONS = 130;

    private final ControlMesh.Place place;
    private final TcpNetwork network;
    private final GossipMembership membership;
    private final VersionDistribution versions;
    private final EndpointDistribution endpoints;

    ControlNode(ControlMesh.Place place, ControlMesh.Parts parts, long incarnation, long seed) {
        this.place = place;
        network =
                TcpNetwork.builder()
                        .mesh(parts.mesh())
                        .nodeId(place.nodeId())
                        .zone(place.zone())
                        .incarnation(incarnation)
                        .bind(place.control())
                        .scheduler(parts.scheduler())
                        .random(new Random(seed))
                        .conditions(parts.conditions())
                        .loop(parts.loop())
                        .build();
        membership =
                GossipMembership.builder()
                        .network(network)
                        .scheduler(parts.scheduler())
                        .clock(Clock.system())
                        .random(new Random(seed + 1))
                        .seeds(parts.seeds())
                        .build();
        versions =
                VersionDistribution.builder()
                        .network(network)
                        .membership(membership)
                        .source(parts.source())
                        .seeds(parts.seeds())
                        .ownSeed(parts.seeds().contains(place.control()))
                        .scheduler(parts.scheduler())
                        .platformExecutor(parts.platformExecutor())
                        .random(new Random(seed + 2))
                        .build();
        endpoints =
                EndpointDistribution.builder()
                        .network(network)
                        .membership(membership)
                        .clock(Clock.system())
                        .scheduler(parts.scheduler())
                        .random(new Random(seed + 3))
                        .callAddress(place.callAddress())
                        .build();
    }

    void start() throws ExperimentException {
        try {
            network.start();
        } catch (TransportException e) {
            throw new ExperimentException("node " + place.nodeId() + " did not start", e);
        }
        membership.start();
        versions.start();
        endpoints.start();
    }

    ControlMesh.Place place() {
        return place;
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

    /** Returns the number in force, 0 if there is none. */
    long number() {
        Optional<Version> version = versions.inForce();
        return version.map(Version::number).orElse(0L);
    }

    /** Announces the backend server beside this node. */
    void announce(EndpointState state) {
        endpoints.announce(
                new LocalServer(
                        "server-" + place.nodeId(), place.service(), SLOTS, CONNECTIONS, state, 0));
    }

    /** Returns the bytes that this node has sent, within its zone or across zones. */
    long sentBytes(boolean crossZone) {
        return counters().total(Direction.SENT, crossZone).bytes();
    }

    TrafficCounters.Snapshot counters() {
        return network.counters().snapshot();
    }

    /** Ends this life at once, as a crash would: nobody is told. */
    @Override
    public void close() {
        network.close();
        endpoints.stop();
        versions.stop();
        membership.stop();
    }

    InetSocketAddress control() {
        return place.control();
    }
}
