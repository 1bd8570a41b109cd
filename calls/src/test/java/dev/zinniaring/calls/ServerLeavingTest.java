package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.KernelException;
import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests calls through two nodes to a server that says in its answers that it is leaving. */
class ServerLeavingTest {
    private static final int CALLS = 5;
    private static final String LEAVING = "Zinniaring-Server-Leaving: 1\r\n";

    private TwoNodeMesh mesh;

    @BeforeEach
    void startNodes() throws IOException, KernelException {
        mesh = new TwoNodeMesh();
    }

    @AfterEach
    void stopNodes() throws IOException {
        mesh.close();
    }

    /** A server that announces its leaving late or to nobody says so in its answers. */
    @Test
    void aServerThatSaysInAnAnswerThatItIsLeavingGetsNoFurtherCalls() throws Exception {
        assertThat(mesh.requestsOf(1, LEAVING)).isEqualTo(1);
        mesh.clock.advance(Duration.ofSeconds(3));
        assertThat(mesh.requestsOf(CALLS, LEAVING)).isZero();
    }

    /** The node beside the server may forget; the node that passed the answer on must not. */
    @Test
    void aServerThatIsLeavingGetsNoCallsAfterTheRestartOfItsNode() throws Exception {
        mesh.requestsOf(1, LEAVING);
        mesh.restartOwnerNode();
        mesh.clock.advance(Duration.ofSeconds(3));
        assertThat(mesh.requestsOf(CALLS, LEAVING)).isZero();
    }
}
