package dev.zinniaring.bench;

import dev.zinniaring.node.Node;
import dev.zinniaring.standins.BackendServer;
import dev.zinniaring.standins.ServiceTime;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * Repeatedly sends a call that crashes its server, along with innocent calls. The baseline sends
 * each repetition with a new key, so that the crash guard does not recognise it.
 */
final class CrashingRequestExperiment implements Experiment {
    private static final String SERVICE = "shelf";
    private static final String MARKER = "crash-the-server";
    private static final List<String> ZONES = List.of("a", "b");
    private static final int SERVERS = 6;
    private static final int SENDS = 20;
    private static final int INNOCENT_PAIRS_PER_SEND = 6;
    private static final long SERVICE_MICROS = 5_000;
    private static final Duration CALL_LIMIT = Duration.ofSeconds(4);
    private static final Duration RESTART_PAUSE = Duration.ofMillis(300);

    @Override
    public String name() {
        return "crashing-request";
    }

    @Override
    public String summary() {
        return "a call that crashes its server is sent 20 times along with innocent calls";
    }

    @Override
    public Report run(long seed) throws ExperimentException {
        Figures keyed = measure(seed, Keys.ONE);
        Figures keyless = measure(seed + 1, Keys.NONE);
        Figures worst = Figures.largest(List.of(keyed, keyless));
        return Report.of(
                        worst.and("with_one_key", keyed).and("without_key", keyless),
                        measure(seed + 2, Keys.CHANGING))
                .note(
                        "figures hold the larger value of runs with a fixed Idempotency-Key and"
                                + " without a key; the baseline uses a new key for each send");
    }

    /** How the crashing call uses the Idempotency-Key header. */
    private enum Keys {
        ONE,
        NONE,
        CHANGING
    }

    private static Figures measure(long seed, Keys keys) throws ExperimentException {
        try (CallMesh mesh = CallMesh.seeded(seed)) {
            Node entry = mesh.addNode("entry", ZONES.get(0));
            for (int i = 0; i < SERVERS; i++) {
                Node node = mesh.addNode("node-" + i, ZONES.get(i % ZONES.size()));
                mesh.addServer(
                        node,
                        SERVICE + "-" + i,
                        SERVICE,
                        server ->
                                server.crashMarker(MARKER)
                                        .serviceTime(ServiceTime.exponential(SERVICE_MICROS)));
            }
            mesh.awaitReady(mesh.publish(SampleTables.of(List.of(SERVICE), 0)));
            Caller caller = new Caller(CallMesh.reachable(entry.callAddress()), keys);
            for (int i = 0; i < SENDS; i++) {
                caller.sendRound(i);
                Await.pause(RESTART_PAUSE);
                mesh.servers().stream().filter(s -> !s.running()).forEach(BackendServer::start);
            }
            long serversLost = mesh.servers().stream().mapToLong(s -> s.runs().crashes()).sum();
            return caller.figures(serversLost);
        }
    }

    /** Status and reason of an answer; status 0 and no reason for a call without an answer. */
    private record Answer(int status, String reason) {
        static Answer of(HttpResponse<?> response) {
            String reason = response.headers().firstValue("Zinniaring-Reason").orElse("");
            return new Answer(response.statusCode(), reason);
        }
    }

    /** Sends calls and records their answers. */
    private static final class Caller {
        private static final Answer NO_ANSWER = new Answer(0, "");

        private final HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        private final String base;
        private final Keys keys;
        private final List<Answer> innocent = new ArrayList<>();
        private final List<Answer> crashing = new ArrayList<>();

        Caller(InetSocketAddress entry, Keys keys) {
            this.base = "http://" + entry.getHostString() + ":" + entry.getPort() + "/" + SERVICE;
            this.keys = keys;
        }

        /** Sends the crashing call between innocent calls and waits for all answers. */
        void sendRound(int number) {
            List<CompletableFuture<Answer>> pending = innocentCalls(number);
            CompletableFuture<Answer> crash = send(crashingCall(number));
            pending.addAll(innocentCalls(number + SENDS));
            pending.forEach(answer -> innocent.add(answer.join()));
            crashing.add(crash.join());
        }

        private HttpRequest crashingCall(int number) {
            HttpRequest.Builder request =
                    HttpRequest.newBuilder(URI.create(base + "/1"))
                            .POST(HttpRequest.BodyPublishers.ofString(MARKER));
            if (keys != Keys.NONE) {
                request.header("Idempotency-Key", "crash-" + (keys == Keys.ONE ? 0 : number));
            }
            if (keys == Keys.ONE && number > 0) {
                request.header("Idempotency-Resend", "true");
            }
            return request.timeout(CALL_LIMIT).build();
        }

        private List<CompletableFuture<Answer>> innocentCalls(int number) {
            List<CompletableFuture<Answer>> pending = new ArrayList<>();
            for (int i = 0; i < INNOCENT_PAIRS_PER_SEND; i++) {
                String body = "innocent-" + number + "-" + i;
                pending.add(send(innocent("/1").POST(HttpRequest.BodyPublishers.ofString(body))));
                pending.add(send(innocent("/0").GET()));
            }
            return pending;
        }

        private HttpRequest.Builder innocent(String path) {
            return HttpRequest.newBuilder(URI.create(base + path)).timeout(CALL_LIMIT);
        }

        private CompletableFuture<Answer> send(HttpRequest.Builder request) {
            return send(request.build());
        }

        private CompletableFuture<Answer> send(HttpRequest request) {
            return client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                    .thenApply(Answer::of)
                    .exceptionally(failure -> NO_ANSWER);
        }

        Figures figures(long serversLost) {
            return Figures.of("servers_lost", serversLost)
                    .and("innocent_calls_refused", refusedByCrashGuard(innocent.stream()))
                    .and("innocent_calls", innocent.size())
                    .and("innocent_calls_failed", failed())
                    .and("crashing_calls_refused", refusedByCrashGuard(crashing.stream()))
                    .and("crashing_calls", crashing.size());
        }

        private long failed() {
            return innocent.stream().filter(answer -> answer.status() != 200).count();
        }

        private static long refusedByCrashGuard(Stream<Answer> answers) {
            return answers.filter(answer -> answer.reason().equals("crashes-servers")).count();
        }
    }
}
