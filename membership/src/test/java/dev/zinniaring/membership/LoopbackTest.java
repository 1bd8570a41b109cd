package dev.zinniaring.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests membership over real sockets. Guards against nodes that do not discover each other, and
 * against crashes, restarts, departures and partitions that are not detected as such. Timeouts are
 * generous because build machines may stall.
 */
class LoopbackTest {
    private LoopbackMesh mesh;

    @BeforeEach
    void open() throws Exception {
        mesh = new LoopbackMesh(2);
    }

    @AfterEach
    void close() {
        mesh.close();
    }

    @Test
    void nodesOfTwoZonesDiscoverEachOther() throws Exception {
        List<LoopbackMesh.Node> nodes = mesh.start(10, 2);
        assertThat(mesh.awaitAll(nodes, 10)).isTrue();
        assertThat(nodes.stream().filter(n -> n.membership().view().isHeadReader())).hasSize(2);
        assertThat(nodes.stream().filter(n -> n.membership().view().isGateway())).hasSize(4);
    }

    @Test
    void killedNodeIsRemovedAndItsRestartedProcessJoins() throws Exception {
        List<LoopbackMesh.Node> nodes = mesh.start(8, 2);
        assertThat(mesh.awaitAll(nodes, 8)).isTrue();
        LoopbackMesh.Node killed = nodes.get(5);
        killed.kill();
        List<LoopbackMesh.Node> others = mesh.allExcept(nodes, killed);
        assertThat(mesh.awaitAll(others, 7)).isTrue();
        LoopbackMesh.Node again = mesh.restart(killed);
        assertThat(mesh.awaitAll(others, 8)).isTrue();
        assertThat(mesh.await(() -> again.membership().view().liveMembers().size() == 8)).isTrue();
        assertThat(others)
                .allSatisfy(
                        n ->
                                assertThat(n.membership().view().member("n5").orElseThrow().life())
                                        .isEqualTo(again.network().incarnation()));
    }

    @Test
    void leavingNodeIsMarkedLeftByAllOthers() throws Exception {
        List<LoopbackMesh.Node> nodes = mesh.start(6, 2);
        assertThat(mesh.awaitAll(nodes, 6)).isTrue();
        LoopbackMesh.Node leaver = nodes.get(4);
        leaver.membership().leave();
        List<LoopbackMesh.Node> others = mesh.allExcept(nodes, leaver);
        assertThat(mesh.awaitAll(others, 5)).isTrue();
        assertThat(others)
                .allSatisfy(
                        n ->
                                assertThat(n.membership().view().member("n4").orElseThrow().state())
                                        .isEqualTo(MemberState.LEFT));
    }

    @Test
    void partitionedZonesKeepEachOthersMembersAndConvergeAfterHealing() throws Exception {
        List<LoopbackMesh.Node> nodes = mesh.start(6, 2);
        assertThat(mesh.awaitAll(nodes, 6)).isTrue();
        mesh.conditions.cutBoth("z0", "z1");
        LoopbackMesh.Node killed = nodes.get(5);
        killed.kill();
        List<LoopbackMesh.Node> sameSide = List.of(nodes.get(1), nodes.get(3));
        List<LoopbackMesh.Node> otherSide = List.of(nodes.get(0), nodes.get(2), nodes.get(4));
        assertThat(mesh.awaitAll(sameSide, 5)).isTrue();
        assertThat(otherSide)
                .allSatisfy(n -> assertThat(n.membership().view().liveMembers()).hasSize(6));
        mesh.conditions.healBoth("z0", "z1");
        assertThat(mesh.awaitAll(mesh.allExcept(nodes, killed), 5)).isTrue();
    }
}
