package dev.zinniaring.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.time.Duration;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class BackendServerTest {
    private final OkHttpClient client =
            new OkHttpClient.Builder().retryOnConnectionFailure(false).build();
    private final BackendServer server =
            BackendServer.builder("s1", "katalog").connectionCostMicros(0).build();

    @BeforeEach
    void start() {
        server.start();
    }

    @AfterEach
    void stop() {
        server.close();
        client.connectionPool().evictAll();
    }

    @Test
    void echoesTheBodyAndRecordsTheCallId() throws IOException {
        try (Response response = post("/books", "hello", "c1")) {
            assertThat(response.body().string()).isEqualTo("hello");
            assertThat(response.header("Zinniaring-Load")).endsWith("/6");
        }
        assertThat(server.runs().of("c1")).isEqualTo(1);
    }

    /** Guards against a crashed server that still answers calls, or that cannot be restarted. */
    @Test
    void aCallWithTheCrashMarkerStopsTheServerUntilItIsRestarted() throws IOException {
        int port = server.address().getPort();

        assertThatThrownBy(() -> post("/books", "crash-the-server", "c1"))
                .isInstanceOf(IOException.class);
        assertThat(server.running()).isFalse();

        server.start();
        assertThat(server.address().getPort()).isEqualTo(port);
        post("/books", "x", "c2").close();
        assertThat(server.runs().of("c2")).isEqualTo(1);
    }

    /** Guards against load results that miss calls or count them twice. */
    @Test
    void everyCallOfALoadRunIsCountedOnce() throws InterruptedException {
        LoadResult result =
                LoadGenerator.builder().target(server.address()).stream(
                                LoadStream.posting("urgent", "/books", 400))
                        .duration(Duration.ofMillis(500))
                        .maxCalls(50)
                        .build()
                        .run();

        LoadResult.Stream stream = result.stream("urgent");
        assertThat(stream.sent()).isEqualTo(50);
        assertThat(stream.ok() + stream.broken()).isEqualTo(50);
        assertThat(server.runs().byCallId()).hasSize(50);
        assertThat(server.runs().runTwice()).isEmpty();
    }

    private Response post(String path, String body, String callId) throws IOException {
        return client.newCall(
                        new Request.Builder()
                                .url(BackendServer.urlOf(server.address()) + path)
                                .header("Zinniaring-Call-Id", callId)
                                .post(RequestBody.create(body.getBytes()))
                                .build())
                .execute();
    }
}
