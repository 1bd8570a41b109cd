package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.KernelException;
import java.io.IOException;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a node that keeps bytes without end of a server, which are no response: it must
 * give the call up at a bound, not at the deadline, and go on serving others.
 */
class EndlessResponseTest {
    private static final int SENT_CHARS = 6_000_000;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nZinniaring-Call-Id: {id}\r\n";

    private final OkHttpClient client =
            new OkHttpClient.Builder().retryOnConnectionFailure(false).build();
    private final TestMesh mesh = new TestMesh();

    @AfterEach
    void stop() {
        client.connectionPool().evictAll();
        mesh.close();
    }

    @ParameterizedTest
    @CsvSource({
        "status-line, true",
        "status-line, false",
        "head, true",
        "head, false",
        "header-line, true",
        "interim, false",
        "blank-lines, false",
    })
    void aHeadWithoutEndIsGivenUpLongBeforeTheDeadline(String kind, boolean throughTwoNodes)
            throws IOException, KernelException {
        TestMesh.TestNode entry = mesh.node("entry");
        TestMesh.TestNode owner = throughTwoNodes ? mesh.node("owner") : entry;
        try (RawServer server = new RawServer(response(kind), false)) {
            owner.serve("s1", "katalog", server.address());
            assertThat(status(entry, "/write")).isEqualTo(502);
            assertThat(status(entry, "/unknown")).isEqualTo(404);
        }
    }

    private static String response(String kind) {
        return switch (kind) {
            case "status-line" -> without("HTTP/1.1 200 ", "x");
            case "head" -> without(HEAD, "X-More: 1\r\n");
            case "header-line" -> without(HEAD + "X-More: ", "x");
            case "interim" -> without("", "HTTP/1.1 102 Processing\r\n\r\n");
            case "blank-lines" -> without("", "\r\n");
            default -> throw new IllegalArgumentException(kind);
        };
    }

    private static String without(String start, String repeated) {
        return start + repeated.repeat(SENT_CHARS / repeated.length());
    }

    private int status(TestMesh.TestNode entry, String path) throws IOException {
        Request request =
                new Request.Builder()
                        .url(entry.url(path))
                        .post(RequestBody.create(new byte[0]))
                        .build();
        try (Response response = client.newCall(request).execute()) {
            return response.code();
        }
    }
}
