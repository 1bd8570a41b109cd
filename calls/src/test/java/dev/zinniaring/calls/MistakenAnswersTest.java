package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.KernelException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls through two nodes to a scripted server whose bytes could be mistaken for an answer. */
class MistakenAnswersTest {
    private static final int WAIT_MILLIS = 10_000;

    private ScriptedServer server;
    private OneServerMesh mesh;

    @BeforeEach
    void startNodes() throws IOException, KernelException {
        server = new ScriptedServer();
        mesh = new OneServerMesh(server.address(), 2);
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        mesh.close();
    }

    private static String named(int status, String body) {
        return "HTTP/1.1 %d Reason\r\nZinniaring-Call-Id: ID\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(status, body.length(), body);
    }

    private static String unnamed(int status, String body) {
        return named(status, body).replace("Zinniaring-Call-Id: ID\r\n", "");
    }

    /** Sends a call on a connection of its own and returns the status and body of its answer. */
    private String call(String id, String method, String path) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mesh.port())) {
            socket.setSoTimeout(WAIT_MILLIS);
            String request =
                    "%s %s HTTP/1.1\r\nHost: h\r\nZinniaring-Call-Id: %s\r\nContent-Length: 0\r\n\r\n"
                            .formatted(method, path, id);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            String head = ScriptedServer.head(socket.getInputStream());
            if (head == null) {
                return "closed";
            }
            int length = Integer.parseInt(ScriptedServer.header(head, "Content-Length"));
            byte[] body = socket.getInputStream().readNBytes(length);
            return head.split(" ")[1] + " " + new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** A late copy of an earlier failure may come without an id where the next answer is due. */
    @Test
    void aLateFailureWithoutAnIdIsNotTakenForTheAnswerToTheNextCall() throws Exception {
        server.answers.add(named(200, "first"));
        assertThat(call("c1", "POST", "/once/1")).isEqualTo("200 first");
        server.answers.add(unnamed(500, "late") + named(200, "own"));
        assertThat(call("c2", "POST", "/once/2")).isIn("200 own", "502 ");
    }

    @Test
    void aLateRefusalWithoutAnIdDoesNotDeclareTheNextCallNotRun() throws Exception {
        server.answers.add(named(200, "first"));
        assertThat(call("c1", "POST", "/once/1")).isEqualTo("200 first");
        server.answers.add(
                unnamed(503, "").replace("\r\n\r\n", "\r\nZinniaring-Not-Run: 1\r\n\r\n")
                        + named(200, "own"));
        assertThat(call("c2", "POST", "/once/2")).isIn("200 own", "502 ");
        assertThat(server.requests).hasSize(2);
    }

    /** A server's own calls keep their ids when the call that makes them runs again. */
    @Test
    void aLateSuccessOfAnEarlierRunIsNotTakenForTheFailureOfALaterRunUnderTheSameId()
            throws Exception {
        server.answers.add(named(200, "first"));
        assertThat(call("c1", "GET", "/safe/1")).isEqualTo("200 first");
        server.answers.add("AGAIN" + named(404, "second"));
        assertThat(call("c1", "GET", "/safe/1")).isEqualTo("404 second");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\n",
                "\r\n\r\n",
                "  ",
                "\u0001\u0002",
                "junk\r\n",
                "junk",
                "HTTP/1.1 ",
                "\t"
            })
    void aSuccessBehindBytesThatAreNoAnswerIsNotPassedOn(String before) throws Exception {
        server.answers.add(before + named(200, "behind"));
        assertThat(call("c1", "POST", "/once/1")).isEqualTo("502 ");
        assertThat(server.requests).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/2.1 200 OK",
                "HTTP/1.9 200 OK",
                "http/1.1 200 OK",
                "HTTP/1.1  200 OK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 200 O\u0001K",
                "HTTP/1.1 200 FuHTTP/1.1 500 Reason",
                "HTTP/1.1 200 OK\r\nX-Cut: abHTTP/1.0 500 Reason",
                "HTTP/1.1 200 Fuhttp/1.1 500 Reason",
                "HTTP/1.1 200 OK\nX: y",
                "HTTP/1.1 200 OK\r\nno colon",
                "HTTP/1.1 200 OK\r\nX-Folded: a\r\n b",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked",
                "HTTP/1.1 200 OK\r\nZinniaring-Call-Id: c0",
                "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK"
            })
    void aSuccessWithAHeadOutsideTheGrammarIsNotPassedOn(String start) throws Exception {
        server.answers.add(named(200, "odd").replace("HTTP/1.1 200 Reason", start));
        assertThat(call("c1", "POST", "/once/1")).isEqualTo("502 ");
        assertThat(server.requests).hasSize(1);
    }

    /** The body breaks off, and the second answer fills it up. */
    @Test
    void aSuccessWhoseBodyRunsIntoASecondAnswerIsNotPassedOn() throws Exception {
        String second = named(500, "failure");
        String first = named(200, "x".repeat(second.length() + 4));
        String cut = first.substring(0, first.length() - second.length());
        server.answers.add(cut + second);
        assertThat(call("c1", "POST", "/once/1")).isEqualTo("502 ");
    }

    /** The start of a late answer stays undecoded while no call waits. */
    @Test
    void aLateAnswerThatBreaksOffInItsHeadDoesNotRunIntoTheAnswerToTheNextCall() throws Exception {
        server.answers.add(named(200, "first") + "HTTP/1.1 200 OK\r\nX-Cut: ab");
        assertThat(call("c1", "POST", "/once/1")).isEqualTo("200 first");
        server.answers.add(named(404, "own"));
        assertThat(call("c2", "POST", "/once/2")).isEqualTo("404 own");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200",
                "HTTP/1.1 200 ",
                "HTTP/1.0 200 OK\r\nConnection: keep-alive",
                "HTTP/1.1 200 OK\r\nX-Empty:",
                "HTTP/1.1 200 Gr\u00fc\u00df\r\nVia: HTTP/1.1 proxy"
            })
    void anUnusualHeadWithinTheGrammarIsPassedOn(String start) throws Exception {
        server.answers.add(named(200, "own").replace("HTTP/1.1 200 Reason", start));
        assertThat(call("c1", "POST", "/once/1")).isEqualTo("200 own");
    }

    @Test
    void aBodyWithAContentCodingThatTheCallerDidNotAskForIsNotPassedOn() throws Exception {
        server.answers.add(named(200, "odd").replace("Reason", "OK\r\nContent-Encoding: gzip"));
        assertThat(call("c1", "POST", "/once/1")).isEqualTo("502 ");
    }

    /** The pool has no second server, so the first answer is the only one there is. */
    @Test
    void theFailureOfAServerIsNotReplacedByARefusalWhenNoOtherServerIsLeft() throws Exception {
        server.answers.add(named(500, "own"));
        assertThat(call("c1", "GET", "/safe/1")).isEqualTo("500 own");
    }
}
