package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.kernel.ManualClock;
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
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests calls through two nodes to a server that names a limit; time passes only in the tests. */
class ServerLimitTest {
    private static final int CALLS = 10;

    /** Less than the time between two requests under the limits of the tests. */
    private static final int TARGET_MILLIS = 300;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final HeaderNames names = HeaderNames.builder().build();
    private final PooledHttpClient client = new PooledHttpClient(group, clock);
    private ScriptedServer server;
    private HttpListener entryPort;

    /** Handler of calls from other nodes; a test replaces it to restart the owner node. */
    private volatile ExchangeHandler ownerNode;

    @BeforeEach
    void startNodes() throws IOException, KernelException {
        server = new ScriptedServer();
        ownerNode = newOwnerNode();
        HttpListener ownerPort = listen(exchange -> ownerNode.handle(exchange));
        EndpointRecord record =
                new EndpointRecord(
                        "i1",
                        "s",
                        "n1",
                        "a",
                        "127.0.0.1:" + ownerPort.address().getPort(),
                        1,
                        1,
                        20,
                        100,
                        EndpointState.READY,
                        0);
        ServerList servers = new ServerList(List.of(record));
        Configuration configuration = configuration();
        CallCounters counters = new CallCounters();
        EntryCalls entry =
                EntryCalls.builder(
                                new EntrySettings(
                                        "a", "caller", "none", 1, 10, Duration.ofSeconds(10)))
                        .names(names)
                        .clock(clock)
                        .loop(group.next())
                        .owner(new OwnerCalls(client, names, clock, counters, () -> null))
                        .peers(new PeerSender(client, names, clock, counters))
                        .counters(counters)
                        .random(new SplittableRandom(1))
                        .configurations(() -> configuration)
                        .servers(() -> servers)
                        .build();
        entryPort = listen(entry);
    }

    private PeerCalls newOwnerNode() {
        LocalServer local =
                new LocalServer(
                        "i1", server.address(), 20, new ServerSettings("/health", 100), false);
        return new PeerCalls(
                new OwnerCalls(client, names, clock, new CallCounters(), () -> local), names);
    }

    private static Configuration configuration() {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        new TreeSet<>(),
                        "k",
                        true,
                        2_000,
                        1,
                        "p",
                        TARGET_MILLIS,
                        new TreeMap<>());
        Pool pool = new Pool("p", "s", BalancePolicy.LEAST_LOADED, 9, 9, 0);
        Tables tables = Tables.of(List.of(new Rank("k", 0, 1, 0)), List.of(route), List.of(pool));
        return new Configuration(1, tables, Map.of(), ClientLimits.DEFAULT);
    }

    private HttpListener listen(ExchangeHandler handler) throws KernelException {
        HttpListener listener = new HttpListener(group, clock, () -> ClientLimits.DEFAULT, handler);
        listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return listener;
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Sends calls one after the other and returns how many the server got. */
    private int requestsOf(int calls, String limit) throws IOException {
        int before = server.requests.size();
        for (int i = 0; i < calls; i++) {
            server.answers.add(
                    "HTTP/1.1 200 OK\r\nZinniaring-Call-Id: ID\r\n%sContent-Length: 0\r\n\r\n"
                            .formatted(limit));
            call();
        }
        server.answers.clear();
        return server.requests.size() - before;
    }

    private void call() throws IOException {
        try (Socket socket = send("/x")) {
            assertThat(ScriptedServer.head(socket.getInputStream())).startsWith("HTTP/1.1 ");
        }
    }

    private Socket send(String path) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), entryPort.address().getPort());
        socket.setSoTimeout(10_000);
        socket.getOutputStream()
                .write(
                        "GET %s HTTP/1.1\r\nHost: h\r\nZinniaring-Call-Id: c1\r\n\r\n"
                                .formatted(path)
                                .getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    /** Sends calls that the server does not answer and returns how many it got, once all ended. */
    private int requestsAtOnce(int calls) throws IOException, InterruptedException {
        int before = server.requests.size();
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            sockets.add(send("/hang"));
        }
        int refused = 0;
        for (Socket socket : sockets) {
            // A call that reached the server is not answered; its entry node ends it after 2 s.
            String head = ScriptedServer.head(socket.getInputStream());
            refused += head != null && head.startsWith("HTTP/1.1 503") ? 1 : 0;
            socket.close();
        }
        int requests = server.requests.size() - before;
        assertThat(requests + refused).isEqualTo(calls);
        return requests;
    }

    private static String limit(String perSecond) {
        return "Zinniaring-Server-Limit: " + perSecond + "\r\n";
    }

    /** A server that names a limit must not get more requests than it, from all nodes together. */
    @Test
    void aServerThatNamesALimitGetsNoMoreThanThat() throws Exception {
        requestsOf(1, limit("2"));
        assertThat(requestsOf(CALLS, limit("2"))).isLessThanOrEqualTo(2);
        clock.advance(Duration.ofSeconds(4));
        assertThat(requestsOf(CALLS, limit("2"))).isBetween(1, 2);
    }

    /** Calls that come together must not all be sent before the first answer. */
    @Test
    void callsThatComeTogetherAreHeldToTheLimitToo() throws Exception {
        requestsOf(1, limit("2"));
        clock.advance(Duration.ofSeconds(4));
        assertThat(requestsAtOnce(CALLS)).isEqualTo(1);
    }

    /** A node that has been restarted has no answer of its server yet. */
    @Test
    void aServerIsHeldToItsLimitAfterTheRestartOfItsNode() throws Exception {
        requestsOf(1, limit("2"));
        clock.advance(Duration.ofSeconds(4));
        ownerNode = newOwnerNode();
        assertThat(requestsAtOnce(CALLS)).isLessThanOrEqualTo(1);
    }

    /** A server that takes nothing is asked now and then, or nobody would learn of its recovery. */
    @Test
    void aServerThatTakesNothingIsTriedFromTimeToTime() throws Exception {
        requestsOf(1, limit("0"));
        requestsOf(CALLS, limit("0"));
        clock.advance(Duration.ofSeconds(4));
        assertThat(requestsOf(CALLS, limit("0"))).isEqualTo(1);
    }

    @Test
    void aLimitEndsWithTheFirstAnswerThatNamesNone() throws Exception {
        requestsOf(1, limit("2"));
        requestsOf(CALLS, limit("2"));
        clock.advance(Duration.ofSeconds(4));
        requestsOf(1, "");
        assertThat(requestsOf(CALLS, "")).isEqualTo(CALLS);
    }
}
