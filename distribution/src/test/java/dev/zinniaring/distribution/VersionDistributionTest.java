package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.model.Version;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class VersionDistributionTest {
    @Test
    void soleNodeThatIsTheOnlySeedFollowsThePlatform() {
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
    void everyNodeOfThreeZonesFollowsWithinTwoSecondsByDeltas() {
        SimMesh mesh = started(3, 5);
        mesh.crossZoneBytes.clear();
        mesh.platform.publish(SimTables.of(500, 2));
        mesh.advance(Duration.ofSeconds(2));
        assertAllInForce(mesh, 2);
        assertThat(mesh.crossZoneBytes.values().stream().mapToInt(i -> i).sum()).isLessThan(10_000);
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
            assertThat(node.versions.inForce().map(Version::number))
                    .as("version in force on %s, %s", node.peer.nodeId(), node.versions.state())
                    .contains(number);
        }
    }
}
