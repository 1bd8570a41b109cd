package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.standins.BackendServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Invalid requests must be refused with a clear status and must not affect other callers. */
class InvalidRequestTest {
    private static final Limits LIMITS =
            new Limits(100_000, 4_096, 20, 64, 32, 500, 1_024, 500, 1_000);

    private final TestMesh mesh = new TestMesh();
    private final BackendServer server = BackendServer.builder("s1", "katalog").build();
    private TestMesh.TestNode node;

    @BeforeEach
    void start() throws KernelException {
        server.start();
        node = mesh.node("n1", LIMITS);
        node.serve("s1", "katalog", server.address());
    }

    @AfterEach
    void stop() {
        mesh.close();
        server.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "two lengths         | POST /write HTTP/1.1~Host: a~Content-Length: 1~"
                        + "Content-Length: 2~~x | 400",
                "length and chunked  | POST /write HTTP/1.1~Host: a~Content-Length: 1~"
                        + "Transfer-Encoding: chunked~~0~~ | 400",
                "negative length     | POST /write HTTP/1.1~Host: a~Content-Length: -1~~ | 400",
                "bad chunk size      | POST /write HTTP/1.1~Host: a~Transfer-Encoding: chunked~~"
                        + "zz~x~0~~ | 400",
                "declared too large  | POST /write HTTP/1.1~Host: a~Content-Length: 100001~~ | 413",
                "head too large      | GET /write HTTP/1.1~Host: a~X: {5000}~~ | 431",
                "too many headers    | GET /write HTTP/1.1~Host: a~{headers}~ | 431",
                "no host             | GET /write HTTP/1.1~~ | 400",
                "no method           | ~~/~~ | 400",
                "bad version         | GET /write HTTP/9.9~Host: a~~ | 505",
                "path that climbs    | GET /read/%2e%2e/write HTTP/1.1~Host: a~~ | 400",
                "connect             | CONNECT a:80 HTTP/1.1~Host: a~~ | 400",
                "coding before       | POST /write HTTP/1.1~Host: a~Transfer-Encoding: x, chunked~~0~~"
                        + " | 400",
                "two codings         | POST /write HTTP/1.1~Host: a~Transfer-Encoding: x~"
                        + "Transfer-Encoding: chunked~~0~~ | 400",
                "coding in 1.0       | POST /write HTTP/1.0~Host: a~Transfer-Encoding: chunked~~"
                        + "0~~ | 400",
                "line without CR     | GET /write HTTP/1.1~Host: a~X: b{lf}Y: c~~ | 400",
                "fragment            | GET /write#x HTTP/1.1~Host: a~~ | 400",
                "target not in UTF-8 | GET /write/caf{e9} HTTP/1.1~Host: a~~ | 400",
                "get with a body     | GET /write HTTP/1.1~Host: a~Content-Length: 1~~x | 400",
                "unknown route       | GET /nowhere HTTP/1.1~Host: a~~ | 404",
                "bad owner hop       | GET /nowhere HTTP/1.1~Host: a~Zinniaring-Owner-Hop: s1~~"
                        + " | 404",
            })
    void refusesAnInvalidRequestWithoutRunningIt(String name, String request, int status)
            throws IOException {
        String response = exchange(request);

        assertThat(response).as(name).startsWith("HTTP/1.1 " + status);
        assertThat(response).as(name).contains("Zinniaring-Outcome: not-run");
        assertThat(server.runs().total()).isZero();
    }

    /** Guards against an endless chunked body that exhausts the memory or reaches the server. */
    @Test
    void rejectsAnOversizedChunkedBody() throws IOException {
        try (Socket socket = connect()) {
            OutputStream out = socket.getOutputStream();
            out.write(bytes("POST /write HTTP/1.1~Host: a~Transfer-Encoding: chunked~~"));
            byte[] chunk = bytes("1000~" + "x".repeat(4_096) + "~");
            try {
                for (int i = 0; i < 40; i++) {
                    out.write(chunk);
                }
            } catch (IOException e) {
                // The node refused the body and closed the connection before all of it was sent.
                return;
            }
            assertThat(readAll(socket)).startsWith("HTTP/1.1 413");
        }
        assertThat(server.runs().total()).isZero();
    }

    @Test
    void doesNotSendATruncatedBodyToTheServer() throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream()
                    .write(bytes("POST /write HTTP/1.1~Host: a~Content-Length: 10~~abc"));
            socket.shutdownOutput();
            readAll(socket);
        }
        assertThat(server.runs().total()).isZero();
    }

    /** Guards against slow senders that occupy the threads needed by other callers. */
    @Test
    void disconnectsSlowSendersWithoutDelayingOtherCallers() throws IOException {
        List<Socket> slow = new ArrayList<>();
        for (int i = 0; i < LIMITS.maxConcurrentCalls() + 4; i++) {
            Socket socket = connect();
            String length = i % 2 == 0 ? "Content-Length: 1000~~ab" : "X-Slow: ";
            socket.getOutputStream().write(bytes("POST /write HTTP/1.1~Host: a~" + length));
            slow.add(socket);
        }
        assertThat(exchange("GET /write HTTP/1.1~Host: a~Connection: close~~"))
                .startsWith("HTTP/1.1 200");
        for (Socket socket : slow) {
            readAll(socket);
            socket.close();
        }
        assertThat(server.runs().total()).isEqualTo(1);
    }

    private String exchange(String request) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(bytes(request));
            return readAll(socket);
        }
    }

    private Socket connect() throws IOException {
        int port = Integer.parseInt(node.url("").replaceAll(".*:", ""));
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static byte[] bytes(String text) {
        StringBuilder headers = new StringBuilder();
        for (int i = 0; i < 25; i++) {
            headers.append("X").append(i).append(": 1~");
        }
        return text.replace("{5000}", "y".repeat(5_000))
                .replace("{headers}", headers)
                .replace("~", "\r\n")
                .replace("{lf}", "\n")
                .replace("{e9}", "\u00e9")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads until the node closes the connection, or until the end of an error response. */
    private static String readAll(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        try {
            int next = in.read();
            while (next >= 0) {
                text.append((char) next);
                next = text.indexOf("}\n") > 0 ? -1 : in.read();
            }
        } catch (java.net.SocketException e) {
            text.append(" reset");
        }
        return text.toString();
    }
}
