package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what remains of a request whose {@code Connection} header names other headers. */
class ConnectionOptionsTest {
    private static final String OPTIONS =
            "Zinniaring-Caller, zinniaring-call-id,Zinniaring-Deadline-Ms, HOST,"
                    + " Zinniaring-Expect-Server, Zinniaring-Rank, Zinniaring-Owner-Hop, X-Own";

    private static String received(String options, boolean local) throws Exception {
        try (ScriptedServer server = new ScriptedServer();
                OneServerMesh mesh = new OneServerMesh(server.address(), 2, local);
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), mesh.port())) {
            server.answers.add(
                    "HTTP/1.1 200 OK\r\nZinniaring-Call-Id: ID\r\nContent-Length: 0\r\n\r\n");
            String request =
                    "GET /safe/x HTTP/1.1\r\nHost: h\r\nZinniaring-Call-Id: c1\r\n"
                            + "Zinniaring-Deadline-Ms: 1500\r\nZinniaring-Caller: forged\r\n"
                            + "X-Own: 1\r\nX-Kept: 2\r\nConnection: keep-alive\r\nConnection: ";
            socket.getOutputStream()
                    .write((request + options + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            return server.request();
        }
    }

    /** A client could hide from any server which service calls it, or for how long it waits. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aClientCannotTakeAwayTheHeadersThatTheSystemOwns(boolean local) throws Exception {
        String head = received(OPTIONS, local);
        assertThat(head).isNotNull();
        assertThat(ScriptedServer.header(head, "Zinniaring-Caller")).isEqualTo("caller");
        assertThat(ScriptedServer.header(head, "Zinniaring-Call-Id")).isEqualTo("c1");
        assertThat(ScriptedServer.header(head, "Host")).isEqualTo("h");
        assertThat(ScriptedServer.header(head, "Zinniaring-Expect-Server")).isEqualTo("i1");
        assertThat(Integer.parseInt(ScriptedServer.header(head, "Zinniaring-Deadline-Ms")))
                .isBetween(1, 1_500);
    }

    /** RFC 9110, section 7.6.1: what concerns the client's connection alone must not go on. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void otherHeadersThatAClientNamesAreNotForwarded(boolean local) throws Exception {
        String head = received(OPTIONS, local);
        assertThat(ScriptedServer.header(head, "X-Own")).isEmpty();
        assertThat(ScriptedServer.header(head, "X-Kept")).isEqualTo("2");
    }
}
