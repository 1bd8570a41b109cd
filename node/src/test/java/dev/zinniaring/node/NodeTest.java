package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.publish.Publisher;
import dev.zinniaring.standins.BackendServer;
import dev.zinniaring.store.MemoryPlatform;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Complete nodes with an in-memory platform. Guards against components that work alone but are
 * wired wrongly.
 */
class NodeTest {
    private final MemoryPlatform platform = new MemoryPlatform(Clock.system());
    private final OkHttpClient client = new OkHttpClient();
    private final List<AutoCloseable> closed = new ArrayList<>();

    @AfterEach
    void stop() throws Exception {
        client.connectionPool().evictAll();
        for (AutoCloseable one : closed) {
            one.close();
        }
    }

    @Test
    void routesACallToAServerAnnouncedAtAnotherNode() throws Exception {
        Publisher.builder("mesh", platform.tables(), platform.objects())
                .build()
                .publish(TestMesh.VERSION.tables());
        Node first = node("n1", List.of());
        Node second = node("n2", List.of(first.controlAddress()));
        BackendServer server = server(second);

        eventually(() -> first.ready() && second.ready());
        eventually(() -> !first.endpoints().view().of("katalog").isEmpty());

        try (Response response = post(first, "/write", "hello")) {
            assertThat(response.code()).isEqualTo(200);
            assertThat(response.body().string()).isEqualTo("hello");
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("ran");
        }
        assertThat(server.runs().total()).isEqualTo(1);
        assertStatus(first);
    }

    private void assertStatus(Node node) throws IOException {
        JsonNode status = new ObjectMapper().readTree(get(node, "/status"));
        assertThat(status.get("version").asLong()).isEqualTo(1);
        assertThat(status.get("ready").asBoolean()).isTrue();
        assertThat(status.get("members").asInt()).isEqualTo(2);
        assertThat(status.get("zones").get("zone-a").asInt()).isEqualTo(2);
        assertThat(status.get("waitingFor").asLong()).isZero();
        assertThat(status.get("adminAddresses").get("n1").asText())
                .isEqualTo(HopRequests.text(node.adminAddress()));
        assertThat(status.get("adminAddresses").get("n2").asText()).startsWith("127.0.0.1:");
        assertThat(get(node, "/health")).isEqualTo("ready\n");
        assertThat(get(node, "/metrics"))
                .contains("zinniaring_calls_total{outcome=\"ran\",rank=\"urgent\"} 1");
        JsonNode state = new ObjectMapper().readTree(get(node, "/state"));
        assertThat(state.get("calls").get("version").asLong()).isEqualTo(1);
        assertThat(state.get("calls").get("tables").get("routes")).isNotEmpty();
        assertThat(state.get("calls").get("endpoints")).isNotEmpty();
        assertThat(state.get("admin").get("build").asText()).isNotEmpty();
        assertThat(state.fieldNames())
                .toIterable()
                .contains("transport", "membership", "distribution", "announcements");
    }

    /** Guards against a node that routes calls before it has a configuration version. */
    @Test
    void refusesCallsAsNotRunWithoutAVersion() throws Exception {
        Node node = node("n1", List.of());

        try (Response response = post(node, "/write", "x")) {
            assertThat(response.code()).isEqualTo(503);
            assertThat(response.header("Zinniaring-Reason")).isEqualTo("not-ready");
            assertThat(response.header("Zinniaring-Outcome")).isEqualTo("not-run");
        }
    }

    private Node node(String nodeId, List<InetSocketAddress> seeds) throws Exception {
        Node node =
                Node.builder(NodeSettings.builder().nodeId(nodeId).seeds(seeds).build())
                        .platform(platform.tables(), platform.objects())
                        .seed(7)
                        .build();
        closed.add(node);
        node.start();
        return node;
    }

    private BackendServer server(Node node) {
        BackendServer server =
                BackendServer.builder("s1", "katalog").announceTo(node.announceAddress()).build();
        closed.add(0, server);
        server.start();
        return server;
    }

    private Response post(Node node, String path, String body) throws IOException {
        String url = "http://" + HopRequests.text(node.callAddress()) + path;
        RequestBody sent = RequestBody.create(body.getBytes());
        return client.newCall(new Request.Builder().url(url).post(sent).build()).execute();
    }

    private String get(Node node, String path) throws IOException {
        String url = "http://" + HopRequests.text(node.adminAddress()) + path;
        try (Response response = client.newCall(new Request.Builder().url(url).build()).execute()) {
            return response.body().string();
        }
    }

    /** Waits until the condition holds; the limit only ends a test that hangs. */
    static void eventually(BooleanSupplier condition) throws InterruptedException {
        CountDownLatch never = new CountDownLatch(1);
        for (int i = 0; i < Duration.ofSeconds(20).toMillis() / 10; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            never.await(10, TimeUnit.MILLISECONDS);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }
}
