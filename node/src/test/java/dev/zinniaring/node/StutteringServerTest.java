package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.KernelException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays calls to a server that sends answers without an id, cut, garbled and more than once, and
 * compares what each caller gets with what the server did for that run of the call.
 */
class StutteringServerTest {
    private static final int CALLERS = 4;
    private static final int CALLS = 60;
    private static final int MAX_RUNS = 3;

    private final OkHttpClient client =
            new OkHttpClient.Builder()
                    .retryOnConnectionFailure(false)
                    .readTimeout(20, TimeUnit.SECONDS)
                    .build();
    private final ConcurrentLinkedQueue<Answer> answers = new ConcurrentLinkedQueue<>();

    @ParameterizedTest
    @CsvSource({"1, true", "2, true", "3, true", "4, false", "5, false", "6, false"})
    void noCallerGetsAnAnswerThatTheServerDidNotGiveToThatRunOfItsCall(
            long seed, boolean throughTwoNodes) throws Exception {
        try (StutteringServer server = new StutteringServer(seed);
                TestMesh mesh = new TestMesh()) {
            TestMesh.TestNode entry = mesh.node("entry");
            owner(mesh, entry, throughTwoNodes).serve("s1", "katalog", server.address());
            play(entry.url("/write"));
            assertThat(answers.stream().filter(answer -> answer.mistaken(server))).isEmpty();
        } finally {
            client.connectionPool().evictAll();
            client.dispatcher().executorService().shutdown();
        }
        assertThat(answers.stream().filter(answer -> answer.outcome().equals("ran")))
                .as("answers of the server among %d", answers.size())
                .hasSizeGreaterThan(answers.size() / 4);
    }

    private static TestMesh.TestNode owner(
            TestMesh mesh, TestMesh.TestNode entry, boolean throughTwoNodes)
            throws KernelException {
        return throughTwoNodes ? mesh.node("owner") : entry;
    }

    private void play(String url) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        List<Callable<Void>> tasks = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            String prefix = "c" + i + "-";
            boolean keepsConnection = i % 2 == 0;
            tasks.add(() -> playOne(url, prefix, keepsConnection));
        }
        for (Future<Void> played : callers.invokeAll(tasks)) {
            played.get();
        }
        callers.shutdown();
    }

    /** Sends calls, each of them more than once under the same id. */
    private Void playOne(String url, String prefix, boolean keepsConnection) throws IOException {
        for (int call = 0; call < CALLS; call++) {
            for (int run = 0; run <= call % MAX_RUNS; run++) {
                Request.Builder request =
                        new Request.Builder()
                                .url(url)
                                .header("Zinniaring-Call-Id", prefix + call)
                                .header(StutteringServer.RUN, Integer.toString(run))
                                .post(RequestBody.create(new byte[run]));
                if (!keepsConnection) {
                    request.header("Connection", "close");
                }
                try (Response response = client.newCall(request.build()).execute()) {
                    answers.add(
                            new Answer(
                                    prefix + call,
                                    run,
                                    response.headers("Zinniaring-Call-Id"),
                                    response.header("Zinniaring-Outcome", "none"),
                                    response.code(),
                                    response.body().string()));
                }
            }
        }
        return null;
    }

    /** What a caller got for one run of a call. */
    private record Answer(
            String callId,
            int run,
            List<String> receivedIds,
            String outcome,
            int status,
            String body) {
        boolean mistaken(StutteringServer server) {
            List<StutteringServer.Run> runs = server.runs(callId, run);
            boolean right =
                    switch (outcome) {
                        case "ran" ->
                                runs.equals(List.of(new StutteringServer.Run(status, body, true)));
                        case "not-run" -> runs.isEmpty();
                        default -> outcome.equals("unknown") && runs.size() <= 1;
                    };
            return !right || !receivedIds.equals(List.of(callId));
        }
    }
}
