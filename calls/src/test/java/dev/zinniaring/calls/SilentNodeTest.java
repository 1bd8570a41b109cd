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

/** An entry node whose call is at a node that answers neither probes nor, for a while, the call. */
class SilentNodeTest {
    private static final int WAIT_SECONDS = 10;
    private static final int DEADLINE_MILLIS = 8_000;
    private static final Duration CAN_REPEAT = Duration.ofSeconds(10);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final CallCounters counters = new CallCounters();
    private final HeaderNames names = HeaderNames.builder().build();
    private final HttpSender sender = new HttpSender(group, Clock.system());
    private final PeerSender peers = new PeerSender(sender, names, Clock.system(), counters);
    private final List<HttpServer> nodes = new ArrayList<>();
    private final List<EndpointRecord> servers = new ArrayList<>();
    private EntryCalls entry;
    private final CountDownLatch silenceEnds = new CountDownLatch(1);
    private final CountDownLatch callArrived = new CountDownLatch(1);
    private final CountDownLatch secondRefused = new CountDownLatch(1);

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

    /** Adds a node; the zone "a" is that of the entry node and is chosen first. */
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

    private int startEntryNode(double repeatAllowance) throws KernelException {
        Clock clock = Clock.system();
        group.scheduleAtFixedRate(peers::sweep, 100, 100, TimeUnit.MILLISECONDS);
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
                                        "a", "caller", "none", 0, repeatAllowance, CAN_REPEAT))
                        .names(names)
                        .loop(group.next())
                        .owner(new OwnerCalls(sender, names, clock, counters, () -> null))
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

    /** Calls, and lets the silent node answer soon after an event. */
    private String callAndEndSilenceAfter(int port, CountDownLatch event) throws Exception {
        var call = call(port);
        assertThat(event.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        // An entry node that gives the call up does so at the event.
        TimeUnit.MILLISECONDS.sleep(200);
        silenceEnds.countDown();
        return answer(call);
    }

    /** Returns what opens once the entry node suspects the first node that was added. */
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

    /** The entry node answered 502 while the only server was still running the call. */
    @Test
    void aCallAtASuspectedNodeIsKeptIfNoOtherServerIsThere() throws Exception {
        addSilentNode();
        assertThat(callAndEndSilenceAfter(startEntryNode(10), suspicion())).isEqualTo("200 late");
    }

    /** Without a repeat left the call must not be given up either. */
    @Test
    void aCallAtASuspectedNodeIsKeptIfTheBudgetOfRepeatsIsSpent() throws Exception {
        addSilentNode();
        add("other", "b", exchange -> write(exchange, 200, "ran", "repeated"));
        assertThat(callAndEndSilenceAfter(startEntryNode(0), suspicion())).isEqualTo("200 late");
    }

    /** A call that is given up before its repeat has a place can lose both. */
    @Test
    void aCallAtASuspectedNodeIsKeptWhileItsRepeatIsRefused() throws Exception {
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

    /** A node that is gone without a reset would hold its calls until their deadline. */
    @Test
    void aCallAtASuspectedNodeIsRepeatedElsewhere() throws Exception {
        addSilentNode();
        add("other", "b", exchange -> write(exchange, 200, "ran", "repeated"));
        assertThat(answer(call(startEntryNode(10)))).isEqualTo("200 repeated");
    }

    /** A caller can go elsewhere if it is told that its call is lost. */
    @Test
    void aCallIsGivenUpIfItsNodeDoesNotAnswerASecondProbe() throws Exception {
        addSilentNode();
        assertThat(answer(call(startEntryNode(10)))).startsWith("502");
    }

    /** A node that leaves may not break off what a server is running for it. */
    @Test
    void aCallIsKeptByANodeThatLeaves() throws Exception {
        addSilentNode();
        int port = startEntryNode(10);
        CountDownLatch suspected = suspicion();
        var call = call(port);
        group.execute(entry::leave);
        assertThat(suspected.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        // The second and the third probe fail in this time.
        TimeUnit.MILLISECONDS.sleep(2_200);
        silenceEnds.countDown();
        assertThat(answer(call)).isEqualTo("200 late");
    }
}
