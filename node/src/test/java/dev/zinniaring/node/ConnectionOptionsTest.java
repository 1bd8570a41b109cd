package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.calls.StrictServer;
import dev.zinniaring.calls.WireRequest;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConnectionOptionsTest {
    private static final String REQUEST =
            "POST /write HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k1\r\nZinniaring-Call-Id: c1\r\n"
                    + "Zinniaring-Deadline-Ms: 1500\r\nX-Own: 1\r\nContent-Length: 0\r\n"
                    + "Connection: close, Host, idempotency-key, Zinniaring-Call-Id, X-Own,"
                    + " Zinniaring-Deadline-Ms, Zinniaring-Rank, Zinniaring-Owner-Hop\r\n\r\n";

    /** A client could take the host, the key, the id or the time limit of a call away. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aClientCannotTakeAwayWhatTheServerNeeds(boolean beside) throws Exception {
        try (StrictServer server = new StrictServer();
                TestMesh mesh = new TestMesh()) {
            TestMesh.TestNode entry = mesh.node("entry");
            TestMesh.TestNode owner = beside ? entry : mesh.node("owner");
            owner.serve("s1", "katalog", server.address());
            int port = URI.create(entry.url("/")).getPort();
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
                byte[] answer = socket.getInputStream().readAllBytes();
                assertThat(new String(answer, StandardCharsets.US_ASCII))
                        .startsWith("HTTP/1.1 200");
            }
            WireRequest received = server.requests().remove();
            assertThat(received.header("Host")).isEqualTo("h");
            assertThat(received.header("Idempotency-Key")).isEqualTo("k1");
            assertThat(received.header("Zinniaring-Call-Id")).isEqualTo("c1");
            assertThat(received.header("Zinniaring-Rank")).isEqualTo("urgent");
            assertThat(Integer.parseInt(received.header("Zinniaring-Deadline-Ms")))
                    .isBetween(1, 1_500);
            assertThat(received.values("X-Own")).isEmpty();
        }
    }
}
