package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.model.EndpointState;
import dev.zinniaring.model.Version;
import dev.zinniaring.transport.Peer;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class VersionDistributionTest {
    @Test
    void singleNodeFollowsThePlatform() {
        SimMesh mesh = new SimMesh(1, 1, 1, 1);
        mesh.platform.publish(SimTables.of(5, 1));
        mesh.startAll();
        mesh.advance(Duration.ofSeconds(1));
        assertAllInForce(mesh, 1);
        mesh.platform.publish(SimTables.of(5, 2));
        mesh.advance(Duration.ofSeconds(1));
        assertAllInForce(mesh, 2);
    }

    @Test
    void everyNodeOfThreeZonesUpdatesByDeltaWithinTwoSeconds() {
        SimMesh mesh = started(3, 5);
        mesh.crossZoneMessages.clear();
        long before = mesh.crossZoneBytes;
        mesh.platform.publish(SimTables.of(500, 2));
        mesh.advance(Duration.ofSeconds(2));
        assertAllInForce(mesh, 2);
        assertThat(mesh.crossZoneBytes - before).isLessThan(10_000);
        String push = VersionPush.CODEC.type() + " ";
        mesh.crossZoneMessages.keySet().removeIf(key -> !key.startsWith(push));
        assertThat(mesh.crossZoneMessages.values())
                .as("one push to each other zone")
                .containsExactly(1, 1);
    }

    // Guards against restarts that need the platform, or put load on it, while the seeds are up.
    @Test
    void restartedNodesRecoverFromSeedsAndPeersWhileThePlatformIsDown() {
        SimMesh mesh = started(3, 5);
        mesh.platform.unreachableZones.addAll(List.of("zone0", "zone1", "zone2"));
        List<String> restarted =
                mesh.peers.stream()
                        .filter(peer -> !mesh.seeds.contains(peer.controlAddress()))
                        .map(Peer::nodeId)
                        .toList();
        restarted.forEach(mesh::crash);
        mesh.advance(Duration.ofSeconds(1));
        restarted.forEach(mesh::start);
        long before = mesh.platform.reads;
        mesh.advance(Duration.ofSeconds(4));
        assertAllInForce(mesh, 1);
        assertThat(mesh.platform.reads - before).as("polls of three readers").isLessThan(30);
    }

    // Guards against a start of the mesh at which every node reads from the platform.
    @Test
    void onlySeedsAndReadersReadFromThePlatformWhenTheWholeMeshRestarts() {
        SimMesh mesh = started(3, 20);
        List.copyOf(mesh.nodes.keySet()).forEach(mesh::crash);
        mesh.advance(Duration.ofSeconds(1));
        long before = mesh.platform.reads;
        mesh.startAll();
        mesh.advance(Duration.ofSeconds(5));
        assertAllInForce(mesh, 1);
        // Upper bound: three readers poll twice a second and read one body each, and three seeds
        // read the head. Readers outside the first zone poll less often.
        assertThat(mesh.platform.reads - before).isLessThanOrEqualTo(3 * 2 * 5 + 3 * 2 + 3);
    }

    // Guards against nodes that keep reading from the platform because there is no version yet.
    @Test
    void onlyReadersPollThePlatformInAMeshWithoutVersions() {
        SimMesh mesh = new SimMesh(1, 2, 10, 1);
        mesh.startAll();
        mesh.advance(Duration.ofSeconds(10));
        long before = mesh.platform.reads;
        mesh.advance(Duration.ofSeconds(60));
        assertThat(mesh.platform.reads - before).isLessThanOrEqualTo(2 * 2 * 60);
        assertThat(mesh.node("n0-5").versions.state().waitingFor()).isEqualTo("first version");
    }

    // Guards against a mesh that stops updating while the links to the seeds of other zones are
    // down for long.
    @Test
    void readersReachAMajorityThroughThePlatformWhenZonesArePartitioned() {
        SimMesh mesh = started(3, 3);
        mesh.partition("zone0", "zone1");
        mesh.partition("zone0", "zone2");
        mesh.partition("zone1", "zone2");
        mesh.platform.publish(SimTables.of(500, 2));
        mesh.advance(Duration.ofSeconds(30));
        assertAllInForce(mesh, 2);
    }

    @Test
    void versionIsNotActivatedWithoutAMajorityOfSeeds() {
        SimMesh mesh = started(3, 3);
        mesh.partition("zone0", "zone1");
        mesh.partition("zone0", "zone2");
        mesh.platform.unreachableZones.addAll(List.of("zone1", "zone2"));
        mesh.platform.publish(SimTables.of(500, 2));
        mesh.advance(Duration.ofSeconds(30));
        assertAllInForce(mesh, 1);
        assertThat(mesh.nodes.values().stream().mapToLong(n -> n.versions.state().recording()))
                .contains(2L);
        mesh.heal();
        mesh.advance(Duration.ofSeconds(5));
        assertAllInForce(mesh, 2);
    }

    // Guards against a floor below the version that a node had activated before it crashed without
    // sending it to any node.
    @Test
    void nodeThatCrashedWithANewerVersionThanItsPeersWaitsForThatVersion() {
        SimMesh mesh = started(3, 4);
        String reader = mesh.readerOf("zone0");
        assertThat(mesh.seeds).doesNotContain(mesh.peer(reader).controlAddress());
        mesh.partition("zone2", "zone0");
        mesh.partition("zone2", "zone1");
        mesh.platform.unreachableZones.addAll(List.of("zone1", "zone2"));
        mesh.crashNextActivation = true;
        mesh.platform.publish(SimTables.of(500, 2));
        while (mesh.nodes.containsKey(reader)) {
            mesh.advance(Duration.ofMillis(1));
        }
        mesh.platform.unreachableZones.add("zone0");
        mesh.partitionedZones.clear();
        mesh.advance(Duration.ofSeconds(20));
        assertThat(mesh.node(reader).versions.state())
                .extracting(VersionStatus::number, VersionStatus::floor)
                .containsExactly(0L, 2L);
        mesh.heal();
        mesh.advance(Duration.ofSeconds(5));
        assertAllInForce(mesh, 2);
    }

    // Guards against the use of a seed's answer to an earlier incarnation, whose mark may be too
    // low.
    @Test
    void answerToAnEarlierIncarnationIsIgnored() {
        SimMesh mesh = new SimMesh(1, 1, 2, 1);
        mesh.platform.unreachableZones.add("zone0");
        mesh.start("n0-1");
        SimNode seed = new SimNode(mesh, mesh.peer("n0-0"), 1);
        seed.send(mesh.peer("n0-1"), new MarkReply(12_345, 0, true));
        mesh.advance(Duration.ofSeconds(1));
        assertThat(mesh.node("n0-1").versions.state().floor()).isEqualTo(-1);
    }

    // Guards against control traffic that grows with the fleet while nothing changes.
    @Test
    void idleTrafficOfANodeDoesNotGrowWithTheFleet() {
        assertThat(idleBytesPerNode(16)).isLessThan(idleBytesPerNode(8) * 1.05);
    }

    private static double idleBytesPerNode(int nodesPerZone) {
        SimMesh mesh = started(2, nodesPerZone);
        mesh.nodes.keySet().forEach(id -> mesh.announce(id, "s-" + id, EndpointState.READY));
        mesh.advance(Duration.ofSeconds(10));
        long before = mesh.bytes;
        mesh.advance(Duration.ofSeconds(20));
        return (double) (mesh.bytes - before) / mesh.nodes.size();
    }

    static SimMesh started(int zones, int nodesPerZone) {
        SimMesh mesh = new SimMesh(1, zones, nodesPerZone, 1);
        mesh.platform.publish(SimTables.of(500, 1));
        mesh.startAll();
        mesh.advance(Duration.ofSeconds(10));
        assertAllInForce(mesh, 1);
        return mesh;
    }

    static void assertAllInForce(SimMesh mesh, long number) {
        for (SimNode node : mesh.nodes.values()) {
            assertThat(node.versions.active().map(Version::number))
                    .as("active version on %s, %s", node.peer.nodeId(), node.versions.state())
                    .contains(number);
        }
    }
}
