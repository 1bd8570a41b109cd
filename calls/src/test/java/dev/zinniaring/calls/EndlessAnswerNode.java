package dev.zinniaring.calls;

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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Node that {@link EndlessAnswerTest} runs as a process of its own, with the heap of the
 * deployment. It carries calls to the backend server at the port that its only argument names, and
 * prints the port for calls.
 */
final class EndlessAnswerNode {
    static final int DEADLINE_MILLIS = 4_000;
    private static final int SLOTS = 64;

    private EndlessAnswerNode() {}

    public static void main(String[] args) throws KernelException {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        Clock clock = Clock.system();
        HeaderNames names = HeaderNames.builder().build();
        PooledHttpClient client = new PooledHttpClient(group, clock);
        CallCounters counters = new CallCounters();
        InetSocketAddress serverAddress =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(args[0]));
        LocalServer server =
                new LocalServer(
                        "i1", serverAddress, SLOTS, new ServerSettings("/health", SLOTS), false);
        OwnerCalls owner = new OwnerCalls(client, names, clock, counters, () -> server);
        EndpointRecord record =
                new EndpointRecord(
                        "i1",
                        "s",
                        "n1",
                        "a",
                        "127.0.0.1:1",
                        1,
                        1,
                        SLOTS,
                        SLOTS,
                        EndpointState.READY,
                        0);
        ServerList servers = new ServerList(List.of(record));
        Route route =
                new Route("r", "h", "/", new TreeSet<>(), "k", false, DEADLINE_MILLIS, 0, "p");
        Pool pool = new Pool("p", "s", BalancePolicy.LEAST_LOADED, SLOTS, SLOTS, 0);
        Configuration configuration =
                new Configuration(
                        1,
                        Tables.of(List.of(new Rank("k", 0, 1, 0)), List.of(route), List.of(pool)),
                        Map.of(),
                        ClientLimits.DEFAULT);
        EntryCalls entry =
                EntryCalls.builder(
                                new EntrySettings(
                                        "a",
                                        "caller",
                                        record.callAddress(),
                                        0,
                                        0,
                                        Duration.ofSeconds(10)))
                        .names(names)
                        .loop(group.next())
                        .owner(owner)
                        .peers(new PeerSender(client, names, clock, counters))
                        .counters(counters)
                        .random(new SplittableRandom(1))
                        .configurations(() -> configuration)
                        .servers(() -> servers)
                        .build();
        HttpListener listener = new HttpListener(group, clock, () -> ClientLimits.DEFAULT, entry);
        listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        System.out.println(listener.address().getPort());
    }
}
