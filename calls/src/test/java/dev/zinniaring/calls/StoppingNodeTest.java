package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests an entry node and an owner node that end before calls with a deadline of two seconds. */
class StoppingNodeTest {
    private static final int WAIT_SECONDS = 10;
    private static final Duration TOO_SOON = Duration.ofSeconds(1);

    private ScriptedServer server;
    private OneServerMesh mesh;

    @BeforeEach
    void start() throws Exception {
        server = new ScriptedServer();
        mesh = new OneServerMesh(server.address(), 1);
    }

    @AfterEach
    void stop() throws Exception {
        mesh.close();
        server.close();
    }

    private Socket open() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mesh.port());
        socket.setSoTimeout(WAIT_SECONDS * 1_000);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String head(String method, String path) {
        return "%s %s HTTP/1.1\r\nHost: h\r\nZinniaring-Call-Id: %s\r\n"
                .formatted(method, path, path);
    }

    private static String answer(Socket socket) throws IOException {
        return ScriptedServer.head(socket.getInputStream());
    }

    private static String ok() {
        return "HTTP/1.1 200 OK\r\nZinniaring-Call-Id: ID\r\nContent-Length: 0\r\n\r\n";
    }

    private void onLoop(Runnable action) throws Exception {
        mesh.group.submit(action).get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void stopEntryNode(Duration runTime) throws Exception {
        long endNanos = System.nanoTime() + runTime.toNanos();
        onLoop(() -> mesh.entry.stopAt(endNanos, endNanos));
    }

    private void stopOwnerNode() throws Exception {
        long endNanos = System.nanoTime() + TOO_SOON.toNanos();
        onLoop(() -> mesh.owner.stopAt(endNanos));
    }

    @Test
    void anUnsafeCallThatTheEndCouldCutIsRefusedBeforeItIsSent() throws Exception {
        stopEntryNode(TOO_SOON);
        try (Socket socket = open()) {
            write(socket, head("DELETE", "/once/x") + "\r\n");
            String answer = answer(socket);
            assertThat(answer).startsWith("HTTP/1.1 503");
            assertThat(ScriptedServer.header(answer, HopHeaders.REASON)).isEqualTo("node-stopping");
            // Callers wait for at most a third of the time that they have left.
            assertThat(Double.parseDouble(ScriptedServer.header(answer, "Retry-After")))
                    .isBetween(0.3, 0.6);
        }
        assertThat(server.requests).isEmpty();
    }

    /** Guards against a server that runs a call for longer than its entry node runs. */
    @Test
    void theServerGetsOnlyTheTimeThatIsLeftForAnIdempotentCall() throws Exception {
        stopEntryNode(Duration.ofMillis(1_900));
        server.answers.add(ok());
        try (Socket socket = open()) {
            write(socket, head("GET", "/safe/x") + "\r\n");
            assertThat(answer(socket)).startsWith("HTTP/1.1 200");
        }
        String leftMillis = ScriptedServer.header(server.request(), "Zinniaring-Deadline-Ms");
        assertThat(Integer.parseInt(leftMillis)).isBetween(1, 1_700);
    }

    /** Guards against a call that was admitted by the time at which its head arrived. */
    @Test
    void aCallWhoseBodyIsStillReadWhenTheStopStartsIsRefused() throws Exception {
        try (Socket socket = open()) {
            write(socket, head("POST", "/once/x") + "Content-Length: 2\r\n\r\na");
            stopEntryNode(TOO_SOON);
            write(socket, "b");
            assertThat(answer(socket)).startsWith("HTTP/1.1 503");
        }
        assertThat(server.requests).isEmpty();
    }

    /** Guards against a pipelined call that is passed on when the one before it has ended. */
    @Test
    void aPipelinedCallThatHasNotStartedWhenTheStopStartsIsRefused() throws Exception {
        try (Socket socket = open()) {
            write(socket, head("GET", "/safe/1") + "\r\n" + head("DELETE", "/once/2") + "\r\n");
            assertThat(server.request()).contains("/safe/1");
            stopEntryNode(TOO_SOON);
            server.answers.add(ok());
            assertThat(answer(socket)).startsWith("HTTP/1.1 200");
            assertThat(answer(socket)).startsWith("HTTP/1.1 503");
        }
        assertThat(server.requests).isEmpty();
    }

    /** Guards against calls of other nodes that the end of the node beside the server cuts. */
    @Test
    void theOwnerNodeRefusesCallsOfOtherNodesThatMayOutlastIt() throws Exception {
        stopOwnerNode();
        try (Socket socket = open()) {
            write(socket, head("GET", "/safe/x") + "\r\n");
            assertThat(answer(socket)).startsWith("HTTP/1.1 503");
        }
        assertThat(server.requests).isEmpty();
    }

    /** Guards against a waiting call that starts so late that the end of the node cuts it. */
    @Test
    void aCallThatWaitsForASlotIsRefusedWhenItsOwnerNodeStops() throws Exception {
        try (Socket first = open();
                Socket second = open()) {
            write(first, head("DELETE", "/once/1") + "\r\n");
            assertThat(server.request()).contains("/once/1");
            write(second, head("DELETE", "/once/2") + "\r\n");
            while (waiting() == 0) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            stopOwnerNode();
            assertThat(answer(second)).startsWith("HTTP/1.1 503");
            server.answers.add(ok());
            assertThat(answer(first)).startsWith("HTTP/1.1 200");
        }
        assertThat(server.requests).isEmpty();
    }

    private int waiting() throws Exception {
        return mesh.group.submit(mesh.owner::waiting).get(WAIT_SECONDS, TimeUnit.SECONDS);
    }
}
