package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class EndpointDistributionTest {
    @Test
    void announcementReachesEveryZoneAndCrossesEachPairOnce() {
        SimMesh mesh = VersionDistributionTest.started(3, 4);
        mesh.announce("n0-3", "server", EndpointState.READY);
        mesh.advance(Duration.ofSeconds(2));
        assertEverywhere(mesh, "server", EndpointState.READY);
        mesh.announce("n0-3", "server", EndpointState.DRAINING);
        mesh.advance(Duration.ofSeconds(1));
        assertEverywhere(mesh, "server", EndpointState.DRAINING);
    }

    @Test
    void withdrawnServerLeavesEveryView() {
        SimMesh mesh = VersionDistributionTest.started(2, 3);
        mesh.announce("n0-2", "server", EndpointState.READY);
        mesh.advance(Duration.ofSeconds(2));
        mesh.node("n0-2").endpoints.withdraw("server");
        mesh.advance(Duration.ofSeconds(2));
        mesh.nodes.values().forEach(node -> assertThat(node.endpoints.view().all()).isEmpty());
    }

    private static void assertEverywhere(SimMesh mesh, String serverId, EndpointState state) {
        for (SimNode node : mesh.nodes.values()) {
            assertThat(node.endpoints.view().of("service"))
                    .as(node.peer.nodeId())
                    .extracting(EndpointRecord::serverId, EndpointRecord::state)
                    .containsExactly(org.assertj.core.groups.Tuple.tuple(serverId, state));
        }
    }
}
