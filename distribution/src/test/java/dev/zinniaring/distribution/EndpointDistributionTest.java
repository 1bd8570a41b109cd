package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

class EndpointDistributionTest {
    @Test
    void announcementReachesEveryZoneAndCrossesEachPairOfZonesOnce() {
        SimMesh mesh = VersionDistributionTest.started(3, 4);
        mesh.announce("n0-3", "server", EndpointState.READY);
        mesh.advance(Duration.ofSeconds(2));
        assertEverywhere(mesh, "server", EndpointState.READY);
        mesh.crossZoneMessages.clear();
        mesh.announce("n0-3", "server", EndpointState.DRAINING);
        mesh.advance(Duration.ofMillis(600));
        assertEverywhere(mesh, "server", EndpointState.DRAINING);
        int type = EndpointBatch.CODEC.type();
        mesh.crossZoneMessages.keySet().removeIf(key -> !key.startsWith(type + " "));
        assertThat(mesh.crossZoneMessages)
                .containsOnly(
                        Map.entry(type + " zone0>zone1", 1), Map.entry(type + " zone0>zone2", 1));
    }

    @Test
    void withdrawnServerDisappearsFromEveryView() {
        SimMesh mesh = VersionDistributionTest.started(2, 3);
        mesh.announce("n0-2", "server", EndpointState.READY);
        mesh.advance(Duration.ofSeconds(2));
        mesh.node("n0-2").endpoints.withdraw("server");
        mesh.advance(Duration.ofSeconds(2));
        mesh.nodes.values().forEach(node -> assertThat(node.endpoints.view().all()).isEmpty());
    }

    // Guards against records of a dead node that stay in views or are reintroduced by a peer.
    @Test
    void recordsOfADeadNodeDisappearAndAreReplacedAfterItsRestart() {
        SimMesh mesh = VersionDistributionTest.started(2, 3);
        mesh.announce("n0-2", "server", EndpointState.READY);
        mesh.advance(Duration.ofSeconds(2));
        mesh.crash("n0-2");
        mesh.advance(Duration.ofSeconds(6));
        mesh.nodes.values().forEach(node -> assertThat(node.endpoints.view().all()).isEmpty());
        mesh.start("n0-2");
        mesh.announce("n0-2", "server", EndpointState.WARMING);
        mesh.advance(Duration.ofSeconds(4));
        assertEverywhere(mesh, "server", EndpointState.WARMING);
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
