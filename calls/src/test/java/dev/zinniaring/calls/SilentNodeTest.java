package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Tables;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests an entry node whose call runs at an owner node that temporarily answers neither probes nor
 * the call.
 */
class SilentNodeTest {
    private static final int WAIT_SECONDS = 10;
    private static final int DEADLINE_MILLIS = 8_000;
    private static final Duration RETRY_WINDOW = Duration.ofSeconds(10);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final CallCounters counters = new CallCounters();
    private final HeaderNames names = HeaderNames.builder().build();
    private final PooledHttpClient httpClient = new PooledHttpClient(group, Clock.system());
    private final PeerSender peers = new PeerSender(httpClient, names, Clock.system(), counters);
    private final List<HttpServer> nodes = new ArrayList<>();
    private final List<EndpointRecord> servers = new ArrayList<>();
    private EntryCalls entry;
    private final CountDownLatch silenceEnds = new CountDownLatch(1);
    private final CountDownLatch callArrived = new CountDownLatch(1);
    private final CountDownLatch secondRefused = new CountDownLatch(1);

    /** Behavior of a scripted node. */
    private interface Answering {
        void answer(HttpExchange exchange) throws IOException, InterruptedException;
    }

    @AfterEach
    void stop() {
        silenceEnds.countDown();
        nodes.forEach(node -> node.stop(0));
        threads.shutdownNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Adds a node. Zone "a" is the zone of the entry node and therefore preferred. */
    private void add(String id, String zone, Answering answering) throws IOException {
        HttpServer node =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        node.setExecutor(threads);
        node.createContext(
                "/",
                exchange -> {
                    try (exchange) {
                        answering.answer(exchange);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        node.start();
        nodes.add(node);
        servers.add(
                new EndpointRecord(
                        id,
                        "s",
                        "n-" + id,
                        zone,
                        "127.0.0.1:" + node.getAddress().getPort(),
                        1,
                        1,
                        2,
                        10,
                        EndpointState.READY,
                        0));
    }

    private static void write(HttpExchange exchange, int status, String outcome, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set(HopHeaders.OUTCOME, outcome);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private void addSilentNode() throws IOException {
        add(
                "silent",
                "a",
                exchange -> {
                    if (!exchange.getRequestURI().getPath().equals("/alive")) {
                        callArrived.countDown();
                    }
                    if (silenceEnds.await(WAIT_SECONDS, TimeUnit.SECONDS)) {
                        write(exchange, 200, "ran", "late");
                    }
                });
    }

    private int startEntryNode(double retryAllowance) throws KernelException {
        Clock clock = Clock.system();
        group.scheduleAtFixedRate(peers::probeSilentNodes, 100, 100, TimeUnit.MILLISECONDS);
        Route route =
                new Route(
                        "r", "127.0.0.1", "/", new TreeSet<>(), "k", true, DEADLINE_MILLIS, 2, "p");
        Pool pool = new Pool("p", "s", BalancePolicy.LEAST_LOADED, 9, 9, 0);
        Tables tables = Tables.of(List.of(new Rank("k", 0, 1, 0)), List.of(route), List.of(pool));
        Configuration configuration = new Configuration(1, tables, Map.of(), ClientLimits.DEFAULT);
        ServerList list = new ServerList(servers);
        entry =
                EntryCalls.builder(
                                new EntrySettings(
                                        "a", "caller", "none", 0, retryAllowance, RETRY_WINDOW))
                        .names(names)
                        .loop(group.next())
                        .owner(new OwnerCalls(httpClient, names, clock, counters, () -> null))
                        .peers(peers)
                        .counters(counters)
                        .random(new SplittableRandom(1))
                        .configurations(() -> configuration)
                        .servers(() -> list)
                        .build();
        HttpListener listener = new HttpListener(group, clock, () -> ClientLimits.DEFAULT, entry);
        listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return listener.address().getPort();
    }

    private CompletableFuture<HttpResponse<String>> call(int port) throws InterruptedException {
        HttpClient client = HttpClient.newBuilder().executor(threads).build();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/x"))
                        .header("Zinniaring-Call-Id", "c1")
                        .build();
        var answer = client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
        assertThat(callArrived.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        return answer;
    }

    private static String answer(CompletableFuture<HttpResponse<String>> call) throws Exception {
        HttpResponse<String> response = call.get(WAIT_SECONDS, TimeUnit.SECONDS);
        return response.statusCode() + " " + response.body();
    }

    /** Makes a call and lets the silent node answer shortly after an event. */
    private String callAndEndSilenceAfter(int port, CountDownLatch event) throws Exception {
        var call = call(port);
        assertThat(event.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        // Leaves time for an entry node to abandon the call, which would happen at the event.
        TimeUnit.MILLISECONDS.sleep(200);
        silenceEnds.countDown();
        return answer(call);
    }

    /** Returns a latch that opens once the entry node suspects the first added node. */
    private CountDownLatch suspicion() {
        CountDownLatch suspected = new CountDownLatch(1);
        String address = servers.get(0).callAddress();
        group.scheduleAtFixedRate(
                () -> {
                    if (peers.suspected(address)) {
                        suspected.countDown();
                    }
                },
                10,
                10,
                TimeUnit.MILLISECONDS);
        return suspected;
    }

    /** Guards against an answer of 502 while the only server is still running the call. */
    @Test
    void aCallAtASuspectedNodeContinuesIfThereIsNoOtherServer() throws Exception {
        addSilentNode();
        assertThat(callAndEndSilenceAfter(startEntryNode(10), suspicion())).isEqualTo("200 late");
    }

    /** The call must not be abandoned if it cannot be retried because of the retry budget. */
    @Test
    void aCallAtASuspectedNodeContinuesIfTheRetryBudgetIsSpent() throws Exception {
        addSilentNode();
        add("other", "b", exchange -> write(exchange, 200, "ran", "repeated"));
        assertThat(callAndEndSilenceAfter(startEntryNode(0), suspicion())).isEqualTo("200 late");
    }

    /** If the first attempt were abandoned before the second is accepted, both could be lost. */
    @Test
    void aCallAtASuspectedNodeContinuesWhileItsRetryIsRefused() throws Exception {
        addSilentNode();
        add(
                "full",
                "b",
                exchange -> {
                    write(exchange, 503, "not-run", "");
                    secondRefused.countDown();
                });
        assertThat(callAndEndSilenceAfter(startEntryNode(10), secondRefused)).isEqualTo("200 late");
    }

    /**
     * Calls to a node that vanished without closing its connections must not wait until their
     * deadline.
     */
    @Test
    void aCallAtASuspectedNodeIsRetriedElsewhere() throws Exception {
        addSilentNode();
        add("other", "b", exchange -> write(exchange, 200, "ran", "repeated"));
        assertThat(answer(call(startEntryNode(10)))).isEqualTo("200 repeated");
    }

    /** The caller can retry elsewhere once it is notified that its call is lost. */
    @Test
    void aCallIsAbandonedIfItsNodeDoesNotAnswerASecondProbe() throws Exception {
        addSilentNode();
        assertThat(answer(call(startEntryNode(10)))).startsWith("502");
    }

    /** A node that shuts down must not abort calls that a server is still running for it. */
    @Test
    void aCallIsNotAbandonedByANodeThatShutsDown() throws Exception {
        assertThat(answerDespiteSilence(() -> entry.startShutdown())).isEqualTo("200 late");
    }

    /** The same call was abandoned in the part of the shutdown in which calls are still served. */
    @Test
    void aCallIsNotAbandonedWhileAStoppingNodeStillServesClients() throws Exception {
        long endNanos = System.nanoTime() + Duration.ofMinutes(1).toNanos();
        assertThat(answerDespiteSilence(() -> entry.stopAt(endNanos, endNanos)))
                .isEqualTo("200 late");
    }

    /** Makes a call whose owner node is silent for a while after the entry node starts to stop. */
    private String answerDespiteSilence(Runnable stop) throws Exception {
        addSilentNode();
        int port = startEntryNode(10);
        CountDownLatch suspected = suspicion();
        var call = call(port);
        group.execute(stop);
        assertThat(suspected.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        // The second and third probes fail within this time.
        TimeUnit.MILLISECONDS.sleep(2_200);
        silenceEnds.countDown();
        return answer(call);
    }
}
