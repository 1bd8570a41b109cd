package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.standins.BackendServer;
import dev.zinniaring.standins.BackendServerBuilder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import okhttp3.Headers;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Calls through an entry node and the owner node of a backend server. Guards against altered bodies
 * and against wrong outcomes of failed calls.
 */
class CallPathTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nZinniaring-Call-Id: {id}\r\n";

    private final OkHttpClient client =
            new OkHttpClient.Builder().retryOnConnectionFailure(false).build();
    private final TestMesh mesh = new TestMesh();
    private final List<AutoCloseable> closed = new ArrayList<>();
    private TestMesh.TestNode entry;
    private TestMesh.TestNode owner;

    @BeforeEach
    void start() throws KernelException {
        entry = mesh.node("entry");
        owner = mesh.node("owner");
    }

    @AfterEach
    void stop() throws Exception {
        client.connectionPool().evictAll();
        for (AutoCloseable one : closed) {
            one.close();
        }
        mesh.close();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 1_000, 65_535, 65_536, 65_537, 300_000, 3_000_000})
    void relaysBodiesUnchangedInBothDirectionsThroughTwoNodes(int bytes) throws IOException {
        serve(owner, BackendServer.builder("s1", "katalog"));
        byte[] body = new byte[bytes];
        new Random(7).nextBytes(body);

        try (Response response = post(entry, "/write/x?y=1", body)) {
            assertThat(response.code()).isEqualTo(200);
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("ran");
            assertThat(response.header("Zinniaring-Load")).isNull();
            assertThat(response.body().bytes()).isEqualTo(body);
        }
    }

    @Test
    void sendsACallForALocalServerDirectlyToIt() throws IOException {
        BackendServer server = serve(entry, BackendServer.builder("s1", "katalog"));

        try (Response response = post(entry, "/write", new byte[3], "Zinniaring-Call-Id", "c9")) {
            assertThat(response.code()).isEqualTo(200);
            assertThat(response.header("Zinniaring-Call-Id")).isEqualTo("c9");
        }
        assertThat(server.runs().of("c9")).isEqualTo(1);
    }

    /**
     * Guards against relaying a truncated response, or another call's, as a complete one (P4 in
     * docs/design.md).
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "Zinniaring-Call-Id: {id}~Content-Length: 10~~abc           | true  | broken",
                "Zinniaring-Call-Id: {id}~Transfer-Encoding: chunked~~5~abc | true  | broken",
                "Zinniaring-Call-Id: {id}~Transfer-Encoding: chunked~~zz~abc | true | broken",
                "Zinniaring-Call-Id: {id}~Connection: close~~abc            | true  |"
                        + " unframed-answer",
                "Zinniaring-Call-Id: {id}~Content-Length: 3~Content-Length: 4~~abc | true |"
                        + " unframed-answer",
                "Content-Length: 3~Zinniaring-Call-Id: other~~abc           | false |"
                        + " crossed-answer",
            })
    void reportsABrokenResponseAsUnknown(String rest, boolean close, String reason)
            throws IOException {
        RawServer server = raw("HTTP/1.1 200 OK\r\n" + rest.replace("~", "\r\n"), close);
        owner.serve("s1", "katalog", server.address());

        try (Response response = post(entry, "/write", new byte[0])) {
            assertThat(response.code()).isEqualTo(502);
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("unknown");
            assertThat(response.header("Zinniaring-Reason")).isEqualTo(reason);
        }
        assertThat(server.requests()).isEqualTo(1);
    }

    /** Guards against ending a long truncated response as if it were complete. */
    @Test
    void closesTheConnectionAfterALongTruncatedResponse() throws IOException {
        String half = "x".repeat(200_000);
        RawServer server = raw(OK + "Transfer-Encoding: chunked\r\n\r\nf4240\r\n" + half, true);
        owner.serve("s1", "katalog", server.address());

        try (Response response = post(entry, "/write", new byte[0])) {
            assertThatThrownBy(() -> response.body().bytes()).isInstanceOf(IOException.class);
        }
    }

    /** Guards against reading surplus bytes of a response as the response to the next request. */
    @Test
    void doesNotReadBytesAfterAResponseAsTheNextResponse() throws Exception {
        String one = OK + "Content-Length: 3\r\n\r\nabc";
        String late = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
        RawServer server = raw(one + late, false);
        owner.serve("s1", "katalog", server.address());

        for (int i = 0; i < 5; i++) {
            try (Response response = post(entry, "/write", new byte[0])) {
                assertThat(response.body().string()).isEqualTo("abc");
            }
        }
    }

    /**
     * Guards against a late second copy of an answer without its call's id, such as a refusal, that
     * is taken for the answer to the next call while that call runs.
     */
    @Test
    void noCallFollowsAnAnswerThatDoesNotNameItsCallOnItsConnection() throws Exception {
        RawServer server = raw("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", false);
        owner.serve("s1", "katalog", server.address());
        for (int i = 0; i < 3; i++) {
            try (Response response = post(entry, "/write", new byte[0])) {
                assertThat(response.code()).isEqualTo(503);
            }
        }
        assertThat(server.requests()).isEqualTo(3);
        assertThat(server.connections()).isEqualTo(3);
    }

    /**
     * Guards against taking an answer that may belong to an earlier call, or to none, for the
     * answer to the call that runs on its connection now.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Full~Content-Length: 0~~",
                "HTTP/1.1 200 OK~Content-Length: 3~~abc",
                "HTTP/1.1 503 Full~Zinniaring-Call-Id: {before}~Content-Length: 0~~",
                "HTTP/1.1 503 Full~Zinniaring-Call-Id: {before}~Zinniaring-Call-Id: {id}"
                        + "~Content-Length: 0~~",
            })
    void anAnswerThatMayBelongToAnEarlierCallIsNotPassedOn(String late) throws Exception {
        String own = OK + "Content-Length: 3\r\n\r\nabc";
        RawServer server = raw(List.of(own, late.replace("~", "\r\n") + own), false);
        owner.serve("s1", "katalog", server.address());
        post(entry, "/write", new byte[0]).close();

        try (Response response = post(entry, "/write", new byte[0])) {
            assertThat(response.code()).isEqualTo(502);
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("unknown");
            assertThat(response.header("Zinniaring-Reason")).isEqualTo("crossed-answer");
        }
        assertThat(server.requests()).isEqualTo(2);
        assertThat(server.connections()).isEqualTo(1);
    }

    /** Guards against passing on an answer that stray bytes precede, or run into. */
    @ParameterizedTest
    @ValueSource(
            strings = {"~", "\u0000", "junk", "HTTP/1.1 503 Fu", "HTTP/1.1 503 Full~Retry-After: "})
    void anAnswerWithStrayBytesInOrBeforeItsHeadIsReportedAsUnknown(String stray)
            throws IOException {
        String own = OK + "Content-Length: 3\r\n\r\nabc";
        RawServer server = raw(List.of(own, stray.replace("~", "\r\n") + own, own), false);
        owner.serve("s1", "katalog", server.address());
        post(entry, "/write", new byte[0]).close();

        try (Response response = post(entry, "/write", new byte[0])) {
            assertThat(response.code()).isEqualTo(502);
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("unknown");
            assertThat(response.header("Zinniaring-Reason")).isEqualTo("broken");
        }
        try (Response response = post(entry, "/write", new byte[0])) {
            assertThat(response.code()).isEqualTo(200);
        }
        assertThat(server.requests()).isEqualTo(3);
    }

    /**
     * Guards against taking a late copy of the answer to an earlier run of a call for the answer to
     * a later run under the same id.
     */
    @Test
    void aCallThatComesAgainIsNotSentTwiceOnAConnection() throws Exception {
        RawServer server = raw(OK + "Content-Length: 3\r\n\r\nabc", false);
        owner.serve("s1", "katalog", server.address());
        for (String callId : List.of("c1", "c2", "c1", "c2")) {
            try (Response again =
                    post(entry, "/write", new byte[0], "Zinniaring-Call-Id", callId)) {
                assertThat(again.code()).isEqualTo(200);
            }
        }
        assertThat(server.requests()).isEqualTo(4);
        assertThat(server.connections()).isEqualTo(2);
    }

    /** Guards against a success of unknown origin, also where no other call was sent before. */
    @Test
    void aSuccessThatDoesNotNameItsCallIsNotPassedOn() throws IOException {
        RawServer server = raw("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false);
        owner.serve("s1", "katalog", server.address());

        try (Response response = post(entry, "/write", new byte[0])) {
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("unknown");
            assertThat(response.header("Zinniaring-Reason")).isEqualTo("crossed-answer");
        }
    }

    /** Guards against a false "not run" from a late copy of another node's refusal. */
    @Test
    void aRefusalOfAnotherNodeThatMayBelongToAnEarlierCallIsReportedAsUnknown() throws IOException {
        String own = OK + "Zinniaring-Outcome: ran\r\nContent-Length: 3\r\n\r\nabc";
        String late =
                "HTTP/1.1 503 Full\r\nZinniaring-Outcome: not-run\r\nContent-Length: 0\r\n\r\n";
        RawServer peer = raw(List.of(own, late + own), false);
        mesh.servePeer("s1", peer.address());
        post(entry, "/write", new byte[0]).close();

        try (Response response = post(entry, "/write", new byte[0])) {
            assertThat(response.code()).isEqualTo(502);
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("unknown");
        }
        assertThat(peer.requests()).isEqualTo(2);
    }

    /** Guards against answers of a node that its callers cannot tell from those to other calls. */
    @ParameterizedTest
    @ValueSource(strings = {"/nowhere", "/write"})
    void refusalsNameTheirCall(String path) throws IOException {
        Headers headers = Headers.of("Zinniaring-Call-Id", "c9", "Zinniaring-Owner-Hop", "s1");
        String ownerUrl = "http://" + HopRequests.text(owner.ownerAddress()) + path;
        for (String url : List.of(entry.url(path), ownerUrl)) {
            Request request = new Request.Builder().url(url).headers(headers).build();
            try (Response response = client.newCall(request).execute()) {
                assertThat(response.header("Zinniaring-Outcome")).isEqualTo("not-run");
                assertThat(response.headers("Zinniaring-Call-Id")).containsExactly("c9");
            }
        }
    }

    /**
     * Guards against retrying a call that may have run on a route that is not idempotent (P5 and P6
     * in docs/design.md).
     */
    @ParameterizedTest
    @CsvSource({"/write, 502, unknown, 1", "/read, 502, unknown, 2"})
    void retriesAfterABrokenConnectionOnlyOnIdempotentRoutes(
            String path, int status, String outcome, int requests) throws IOException {
        RawServer first = raw("", true);
        RawServer second = raw("", true);
        owner.serve("s1", "katalog", first.address());
        owner.serve("s2", "katalog", second.address());

        try (Response response = post(entry, path, new byte[0])) {
            assertThat(response.code()).isEqualTo(status);
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo(outcome);
        }
        assertThat(first.requests() + second.requests()).isEqualTo(requests);
    }

    @Test
    void retriesOnAnotherServerAfterARefusedConnection() throws IOException {
        BackendServer good = BackendServer.builder("s2", "katalog").build();
        closed.add(good);
        good.start();
        owner.serve("s1", "katalog", closedPort());
        owner.serve("s2", "katalog", good.address());

        for (int i = 0; i < 4; i++) {
            try (Response response = post(entry, "/write", new byte[1])) {
                assertThat(response.code()).isEqualTo(200);
            }
        }
        assertThat(good.runs().total()).isEqualTo(4);
    }

    @Test
    void reportsACallWithoutAListeningServerAsNotRun() throws IOException {
        owner.serve("s1", "katalog", closedPort());

        try (Response response = post(entry, "/write", new byte[1])) {
            assertThat(response.code()).isEqualTo(503);
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("not-run");
            assertThat(response.header("Zinniaring-Reason")).isEqualTo("connect-failed");
        }
    }

    /** Guards against OkHttp's own retry of a request that got a 503 with Retry-After 0. */
    @Test
    void doesNotResendARequestThatAServerAnswered() throws Exception {
        RawServer server =
                raw("HTTP/1.1 503 Busy\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n", false);
        owner.serve("s1", "katalog", server.address());

        // Uses the JDK's client, because OkHttp as the caller would resend the request itself.
        HttpResponse<String> response =
                HttpClient.newHttpClient()
                        .send(
                                HttpRequest.newBuilder(URI.create(entry.url("/read"))).build(),
                                HttpResponse.BodyHandlers.ofString());

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.headers().firstValue("Retry-After")).contains("0");
        assertThat(response.headers().firstValue("Zinniaring-Outcome")).contains("ran");
        assertThat(server.requests()).isEqualTo(1);
    }

    /** Guards against backend servers or callers that set headers reserved for the mesh. */
    @Test
    void ignoresForgedMeshHeaders() throws IOException {
        RawServer server =
                raw(
                        OK
                                + "Zinniaring-Outcome: not-run\r\n"
                                + "Zinniaring-Pressure: 0\r\nContent-Length: 0\r\n\r\n",
                        false);
        owner.serve("s1", "katalog", server.address());

        try (Response response =
                post(entry, "/write", new byte[0], "Zinniaring-Owner-Hop", "elsewhere")) {
            assertThat(response.code()).isEqualTo(200);
            assertThat(response.headers("Zinniaring-Outcome")).containsExactly("ran");
            assertThat(response.header("Zinniaring-Pressure")).isNull();
        }
    }

    @Test
    void reportsADeadlineThatPassesAfterDispatchAsUnknown() throws IOException {
        RawServer server = raw("HTTP/1.1 200 OK\r\nContent-Le", false);
        owner.serve("s1", "katalog", server.address());

        try (Response response = post(entry, "/short", new byte[0])) {
            assertThat(response.code()).isEqualTo(504);
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("unknown");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "/nowhere,          Zinniaring-Depth,       1,  404, no-route",
        "/write,            Zinniaring-Depth,       28, 400, too-deep",
        "/write,            Zinniaring-Deadline-Ms, 0,  503, deadline",
        "/write,            Idempotency-Key,        '', 400, bad-key",
    })
    void refusesACallThatCannotBeRoutedAsNotRun(
            String path, String header, String value, int status, String reason)
            throws IOException {
        BackendServer server = serve(owner, BackendServer.builder("s1", "katalog"));

        try (Response response = post(entry, path, new byte[0], header, value)) {
            assertThat(response.code()).isEqualTo(status);
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("not-run");
            assertThat(response.header("Zinniaring-Reason")).isEqualTo(reason);
        }
        assertThat(server.runs().total()).isZero();
    }

    /**
     * Guards against running a call again whose idempotency key has already been used (P6 in
     * docs/design.md).
     */
    @Test
    void replaysTheResponseForARepeatedIdempotencyKey() throws IOException {
        BackendServer server = serve(owner, BackendServer.builder("s1", "katalog"));
        for (int i = 0; i < 3; i++) {
            try (Response response =
                    post(entry, "/write", "pay".getBytes(), "Idempotency-Key", "k1")) {
                assertThat(response.code()).isEqualTo(200);
                assertThat(response.body().string()).isEqualTo("pay");
            }
        }
        assertThat(server.runs().total()).isEqualTo(1);

        try (Response response =
                post(entry, "/write", "other".getBytes(), "Idempotency-Key", "k1")) {
            assertThat(response.code()).isEqualTo(400);
        }
        Request resend =
                request(entry, "/write", new byte[1])
                        .header("Idempotency-Key", "k2")
                        .header("Idempotency-Resend", "true")
                        .build();
        try (Response response = client.newCall(resend).execute()) {
            assertThat(response.code()).isEqualTo(409);
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("unknown");
        }
        assertThat(server.runs().total()).isEqualTo(1);
    }

    private BackendServer serve(TestMesh.TestNode node, BackendServerBuilder builder) {
        BackendServer server = builder.connectionCostMicros(0).build();
        closed.add(server);
        server.start();
        node.serve(server.serverId(), "katalog", server.address());
        return server;
    }

    private RawServer raw(String response, boolean close) throws IOException {
        return raw(List.of(response), close);
    }

    private RawServer raw(List<String> responses, boolean close) throws IOException {
        RawServer server = new RawServer(responses, close);
        closed.add(server);
        return server;
    }

    private static InetSocketAddress closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private Response post(TestMesh.TestNode node, String path, byte[] body) throws IOException {
        return client.newCall(request(node, path, body).build()).execute();
    }

    private Response post(
            TestMesh.TestNode node, String path, byte[] body, String header, String value)
            throws IOException {
        return client.newCall(request(node, path, body).header(header, value).build()).execute();
    }

    private static Request.Builder request(TestMesh.TestNode node, String path, byte[] body) {
        return new Request.Builder().url(node.url(path)).post(RequestBody.create(body));
    }
}
