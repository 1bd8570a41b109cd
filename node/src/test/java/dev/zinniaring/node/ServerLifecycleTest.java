package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.calls.ServerNotice;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.standins.BackendServer;
import dev.zinniaring.standins.ServiceTime;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Backend servers, nodes and callers that join, drain, crash or disconnect. Guards against calls
 * that are lost, or are sent to a server that can no longer run them.
 */
class ServerLifecycleTest {
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

    /**
     * Guards against a shutdown that aborts calls in flight, or that leaves the outcome of new
     * calls unknown (P8 in docs/design.md).
     */
    @Test
    void drainingNodeFinishesRunningCallsAndRefusesNewOnesAsNotRun() throws Exception {
        BackendServer server = announced(owner, 300_000);
        List<CompletableFuture<Integer>> running = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            running.add(postLater("/write"));
        }
        NodeTest.eventually(() -> server.runs().total() == 5);

        TestMesh.drain(owner, Duration.ofSeconds(10));

        for (CompletableFuture<Integer> one : running) {
            assertThat(one.get(10, TimeUnit.SECONDS)).isEqualTo(200);
        }
        try (Response response = post(entry, "/write")) {
            assertThat(response.code()).isEqualTo(503);
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("not-run");
        }
        assertThat(server.runs().total()).isEqualTo(5);
    }

    /** Guards against a retry that the end of the process cuts while a server runs it. */
    @Test
    void aNodeThatEndsBeforeTheDeadlineOfACallDoesNotRetryIt() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        RawServer first = heldServer("s1", release);
        RawServer second = heldServer("s2", release);
        CompletableFuture<Integer> call = postLater("/read");
        NodeTest.eventually(() -> first.requests() + second.requests() == 1);
        CompletableFuture<Void> drained =
                CompletableFuture.runAsync(() -> entry.calls.drain(Duration.ofSeconds(3)));
        NodeTest.eventually(() -> status("/unknown") == 503);

        release.countDown();

        assertThat(call.get(10, TimeUnit.SECONDS)).isEqualTo(502);
        drained.get(10, TimeUnit.SECONDS);
        assertThat(first.requests() + second.requests()).isEqualTo(1);
    }

    /** Adds a server that closes the connections of its requests once the latch is released. */
    private RawServer heldServer(String id, CountDownLatch release) throws IOException {
        RawServer server = new RawServer("", true, release);
        closed.add(server);
        owner.serve(id, "katalog", server.address());
        return server;
    }

    private int status(String path) {
        try (Response response = post(entry, path)) {
            return response.code();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void drainingServerGetsNoNewCalls() throws Exception {
        BackendServer server = announced(owner, 0);
        post(entry, "/write").close();

        server.drain();

        try (Response response = post(entry, "/write")) {
            assertThat(response.code()).isEqualTo(503);
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("not-run");
        }
        assertThat(server.runs().total()).isEqualTo(1);
    }

    /** A caller that waits sends nothing, which is no sign that it has left. */
    @Test
    void aCallThatRunsLongerThanTheIdleTimeoutIsAnswered() throws Exception {
        Limits limits = new Limits(100_000, 4_096, 20, 64, 32, 200, 1_024, 500, 1_000);
        entry = mesh.node("impatient", limits);
        announced(owner, 1_500_000);
        try (Response response = post(entry, "/write")) {
            assertThat(response.code()).isEqualTo(200);
        }
    }

    /** A server may say that it is leaving in its answers only, and go on announcing itself. */
    @Test
    void aServerThatSaysInAnAnswerThatItIsLeavingGetsNoNewCalls() throws Exception {
        BackendServer server = announced(owner, 0);
        LocalServer known = owner.servers.find("s1");
        assertThat(known).isNotNull();

        owner.servers.answered(known, ServerNotice.of(null, "1"));
        owner.servers.announce("s1", known.announced());

        try (Response response = post(entry, "/write")) {
            assertThat(response.code()).isEqualTo(503);
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("not-run");
        }
        assertThat(server.runs().total()).isZero();
    }

    @Test
    void removesAServerThatStopsAnnouncing() throws Exception {
        BackendServer server = announced(owner, 0);
        assertThat(mesh.records()).hasSize(1);

        server.silent(true);

        NodeTest.eventually(() -> mesh.records().isEmpty());
        assertThat(owner.servers.all()).isEmpty();
    }

    /** Guards against an unknown outcome due to idle connections that a restarted server closed. */
    @Test
    void runsACallAfterAServerRestartClosedIdleConnections() throws Exception {
        BackendServer server = announced(owner, 0);
        post(entry, "/write").close();

        server.crash();
        server.start();

        try (Response response = post(entry, "/write")) {
            assertThat(response.code()).isEqualTo(200);
        }
    }

    /** Guards against work that continues for callers that have disconnected. */
    @Test
    void cancelsTheCallAtTheServerWhenTheCallerDisconnects() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            owner.serve(
                    "s1", "katalog", (java.net.InetSocketAddress) listener.getLocalSocketAddress());
            Call call = client.newCall(request(entry, "/write").build());
            call.enqueue(ignoring());
            try (Socket connection = listener.accept()) {
                connection.setSoTimeout(20_000);
                assertThat(connection.getInputStream().read()).isEqualTo('P');

                call.cancel();

                byte[] rest = connection.getInputStream().readAllBytes();
                assertThat(new String(rest, StandardCharsets.ISO_8859_1)).startsWith("OST /write");
            }
        }
    }

    /** Guards against a request that crashes one backend server after the other. */
    @Test
    void holdsBackARequestThatCrashedTwoServers() throws Exception {
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            BackendServer server = BackendServer.builder("s" + i, "katalog").build();
            closed.add(server);
            server.start();
            servers.add(server);
            owner.serve("s" + i, "katalog", server.address());
        }

        NodeTest.eventually(() -> "crashes-servers".equals(reasonOfCrashingCall()));

        assertThat(servers.stream().filter(BackendServer::running)).hasSize(1);
        try (Response response = post(entry, "/read")) {
            assertThat(response.code()).isEqualTo(200);
        }
    }

    /** Guards against a hold of all calls without a key that share path and body. */
    @Test
    void anotherCallerOfAHeldRequestIsNotHeld() throws Exception {
        for (int i = 1; i <= 3; i++) {
            BackendServer server = BackendServer.builder("s" + i, "katalog").build();
            closed.add(server);
            server.start();
            owner.serve("s" + i, "katalog", server.address());
        }
        NodeTest.eventually(() -> "crashes-servers".equals(reasonOfCrashingCall("a")));
        assertThat(reasonOfCrashingCall("b")).isEqualTo("broken");
    }

    private String reasonOfCrashingCall() {
        return reasonOfCrashingCall("a");
    }

    private String reasonOfCrashingCall(String caller) {
        Request request =
                new Request.Builder()
                        .url(entry.url("/write"))
                        .header("X-Customer", caller)
                        .post(RequestBody.create("crash-the-server".getBytes()))
                        .build();
        try (Response response = client.newCall(request).execute()) {
            return response.header("Zinniaring-Reason", "");
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "s1  | {} | 400 | service",
                "s1  | {\"service\":\"a\",\"address\":\"host:1\",\"slots\":1} | 400 | address",
                "s1  | {\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"slots\":0} | 400 | slots",
                "s1  | {\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"slots\":1,"
                        + "\"state\":\"gone\"} | 400 | state",
                "s1  | {\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"slots\":1,\"x\":1} | 400"
                        + " | x",
                "s 1 | {\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"slots\":1} | 400 | id",
                "s1  | {\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"slots\":1} | 204 | ''",
            })
    void parsesAnnouncementsStrictly(String id, String body, int status, String path)
            throws IOException {
        Request put =
                new Request.Builder()
                        .url(
                                "http://"
                                        + HopRequests.text(owner.announcements.address())
                                        + "/servers/"
                                        + id)
                        .put(RequestBody.create(body, MediaType.get("application/json")))
                        .build();

        try (Response response = client.newCall(put).execute()) {
            assertThat(response.code()).isEqualTo(status);
            assertThat(response.body().string()).contains(path);
        }
    }

    private BackendServer announced(TestMesh.TestNode node, long serviceMicros) {
        BackendServer server =
                BackendServer.builder("s1", "katalog")
                        .serviceTime(ServiceTime.fixed(serviceMicros))
                        .announceTo(node.announcements.address())
                        .build();
        closed.add(server);
        server.start();
        return server;
    }

    private CompletableFuture<Integer> postLater(String path) {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        client.newCall(request(entry, path).build())
                .enqueue(
                        new Callback() {
                            @Override
                            public void onFailure(Call call, IOException e) {
                                status.completeExceptionally(e);
                            }

                            @Override
                            public void onResponse(Call call, Response response) {
                                response.close();
                                status.complete(response.code());
                            }
                        });
        return status;
    }

    private static Callback ignoring() {
        CountDownLatch ended = new CountDownLatch(1);
        return new Callback() {
            @Override
            public void onFailure(Call call, IOException e) {
                ended.countDown();
            }

            @Override
            public void onResponse(Call call, Response response) {
                response.close();
            }
        };
    }

    private Response post(TestMesh.TestNode node, String path) throws IOException {
        return client.newCall(request(node, path).build()).execute();
    }

    private static Request.Builder request(TestMesh.TestNode node, String path) {
        return new Request.Builder().url(node.url(path)).post(RequestBody.create(new byte[1]));
    }
}
