package dev.zinniaring.standins;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.zinniaring.store.Fault;
import dev.zinniaring.store.HttpObjectStore;
import dev.zinniaring.store.HttpTableService;
import dev.zinniaring.store.ObjectStore;
import dev.zinniaring.store.PlatformContract;
import dev.zinniaring.store.PlatformException;
import dev.zinniaring.store.PlatformHttp;
import dev.zinniaring.store.PlatformInvalidRequestException;
import dev.zinniaring.store.PlatformOutcomeUnknownException;
import dev.zinniaring.store.PlatformUnavailableException;
import dev.zinniaring.store.RequestCounts;
import dev.zinniaring.store.RequestKind;
import dev.zinniaring.store.TableService;
import dev.zinniaring.store.Transaction;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs the platform contract tests through the HTTP clients against the fake platform server. */
class PlatformServerTest extends PlatformContract {
    private final PlatformServer server = PlatformServer.builder().platform(platform).start();
    private final RequestCounts sent = new RequestCounts();
    private final PlatformHttp http = client(3, Duration.ofSeconds(10));

    @AfterEach
    void close() {
        http.close();
        server.close();
    }

    @Override
    protected TableService tables() {
        return new HttpTableService(http, server.tableUrl());
    }

    @Override
    protected ObjectStore objects() {
        return new HttpObjectStore(http, server.objectUrl());
    }

    /** Guards against a retry that conflicts with its first attempt after a lost response. */
    @ParameterizedTest
    @CsvSource({
        "LOST_BEFORE_EFFECT",
        "LOST_AFTER_EFFECT",
        "LOST_AND_DELAYED",
        "THROTTLED",
        "UNAVAILABLE"
    })
    void aWriteThatFailsOnceIsRetriedAndAppliedOnce(Fault fault) throws PlatformException {
        faults(fault);
        assertThat(tables().commit(create("t1"))).isTrue();
        platform.deliverDelayed();
        assertThat(tables().get("a").orElseThrow().revision()).isEqualTo(1);
        assertThat(sent.of(RequestKind.COMMIT)).isEqualTo(2);
    }

    /** Guards against reporting "no effect" because the last of several attempts was rejected. */
    @Test
    void aLostResponseKeepsTheOutcomeUnknownWhenRetriesAreRejected() {
        faults(Fault.LOST_AFTER_EFFECT, Fault.UNAVAILABLE, Fault.THROTTLED);
        assertThatThrownBy(() -> tables().commit(create("t1")))
                .isInstanceOf(PlatformOutcomeUnknownException.class);
    }

    @Test
    void aRefusedConnectionHasNoEffect() throws IOException {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        TableService tables = new HttpTableService(http, "http://127.0.0.1:" + port + "/table");
        assertThatThrownBy(() -> tables.commit(create("t1")))
                .isInstanceOf(PlatformUnavailableException.class);
    }

    @Test
    void theOutcomeOfAWriteThatTimesOutIsUnknown() throws IOException {
        try (ServerSocket silent = new ServerSocket(0);
                PlatformHttp impatient = client(1, Duration.ofMillis(200))) {
            String url = "http://127.0.0.1:" + silent.getLocalPort() + "/table";
            TableService tables = new HttpTableService(impatient, url);
            assertThatThrownBy(() -> tables.commit(create("t1")))
                    .isInstanceOf(PlatformOutcomeUnknownException.class);
            assertThatThrownBy(() -> tables.get("a"))
                    .isInstanceOf(PlatformUnavailableException.class);
        }
    }

    /** Guards against a wrong address that makes the mesh look empty. */
    @Test
    void aWrongAddressIsNotMistakenForAnAbsentRow() {
        TableService tables = new HttpTableService(http, server.url() + "/elsewhere");
        assertThatThrownBy(() -> tables.get("a"))
                .isInstanceOf(PlatformInvalidRequestException.class);
    }

    @Test
    void responsesAboveTheSizeLimitAreRejected() throws PlatformException {
        objects().put("a", new byte[2_000]);
        try (PlatformHttp small =
                PlatformHttp.builder().attempts(1).maxAnswerBytes(1_999).build()) {
            ObjectStore objects = new HttpObjectStore(small, server.objectUrl());
            assertThatThrownBy(() -> objects.get("a"))
                    .isInstanceOf(PlatformUnavailableException.class)
                    .hasMessageContaining("1999 bytes");
        }
    }

    /** Guards against polls that transfer the whole row although it has not changed. */
    @Test
    void pollingAnUnchangedRowTransfersFewBytes() throws PlatformException {
        tables().commit(
                        Transaction.withToken("t1")
                                .put("a", "x".repeat(5_000).getBytes(UTF_8))
                                .build());
        long before = sent.receivedBytes();
        long beforeOnServer = server.sentBytes();
        assertThat(tables().getIfChanged("a", 1)).isEmpty();
        assertThat(sent.receivedBytes() - before).isBetween(10L, 100L);
        assertThat(server.sentBytes() - beforeOnServer).isBetween(10L, 100L);
    }

    @Test
    void faultsAndCountersAreAvailableOverTheAdminRoutes() throws Exception {
        assertThat(admin("PUT", "faults", "{\"outage\": true}").statusCode()).isEqualTo(204);
        assertThatThrownBy(() -> tables().get("a"))
                .isInstanceOf(PlatformUnavailableException.class);
        String loseAndDelayWrites = "{\"writeFault\": \"lost-and-delayed\"}";
        assertThat(admin("PUT", "faults", loseAndDelayWrites).statusCode()).isEqualTo(204);
        assertThatThrownBy(() -> tables().commit(create("t1")))
                .isInstanceOf(PlatformOutcomeUnknownException.class);
        assertThat(tables().get("a")).isEmpty();
        assertThat(admin("POST", "delayed", "").statusCode()).isEqualTo(204);
        assertThat(tables().get("a")).isPresent();
        assertThat(admin("GET", "counters", "").body()).contains("\"get-row\":5", "\"commit\":3");
        HttpResponse<String> refused = admin("PUT", "faults", "{\"outtage\": true}");
        assertThat(refused.statusCode()).isEqualTo(400);
        assertThat(refused.body()).contains("outtage");
    }

    private void faults(Fault... faults) {
        Queue<Fault> queue = new ArrayDeque<>(List.of(faults));
        platform.faults().rule((kind, key) -> queue.isEmpty() ? Fault.NONE : queue.remove());
    }

    private HttpResponse<String> admin(String method, String path, String body) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(server.url() + "/admin/" + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static Transaction create(String token) {
        return Transaction.withToken(token).requireAbsent("a").put("a", new byte[1]).build();
    }

    private PlatformHttp client(int attempts, Duration timeout) {
        return PlatformHttp.builder()
                .timeout(timeout)
                .attempts(attempts)
                .random(new SplittableRandom(7))
                .timing(clock, length -> {})
                .observer(sent)
                .build();
    }
}
