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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * An entry node and the node beside one server, over loopback. Calls to {@code /safe/} may be
 * repeated, calls to {@code /once/} may not.
 */
final class OneServerMesh implements AutoCloseable {
    final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final HeaderNames names = HeaderNames.builder().build();
    final PooledHttpClient client = new PooledHttpClient(group, Clock.system());
    final AtomicReference<Configuration> configuration = new AtomicReference<>();
    final AtomicBoolean leaving = new AtomicBoolean();
    final OwnerCalls owner;
    final EntryCalls entry;
    final HttpListener entryPort;
    private final ServerList servers;

    /** Starts both nodes; the server has {@code slots} slots. */
    OneServerMesh(InetSocketAddress server, int slots) throws KernelException {
        this(server, slots, false);
    }

    /**
     * Starts both nodes.
     *
     * @param beside whether the entry node itself is the one beside the server
     */
    OneServerMesh(InetSocketAddress server, int slots, boolean beside) throws KernelException {
        LocalServer local =
                new LocalServer("i1", server, slots, new ServerSettings("/health", 10), false);
        CallCounters counters = new CallCounters();
        owner =
                new OwnerCalls(
                        client,
                        names,
                        Clock.system(),
                        counters,
                        () ->
                                new LocalServer(
                                        local.serverId(),
                                        local.address(),
                                        local.slots(),
                                        local.settings(),
                                        leaving.get()));
        HttpListener ownerPort = listen(new PeerCalls(owner, names));
        PeerSender peers = new PeerSender(client, names, Clock.system(), counters);
        OwnerCalls none = new OwnerCalls(client, names, Clock.system(), counters, () -> null);
        String peerAddress = "127.0.0.1:" + ownerPort.address().getPort();
        entry =
                EntryCalls.builder(
                                new EntrySettings(
                                        "a",
                                        "caller",
                                        beside ? peerAddress : "none",
                                        1,
                                        10,
                                        Duration.ofSeconds(10)))
                        .names(names)
                        .loop(group.next())
                        .owner(beside ? owner : none)
                        .peers(peers)
                        .counters(counters)
                        .random(new SplittableRandom(1))
                        .configurations(configuration::get)
                        .servers(this::servers)
                        .build();
        entryPort = listen(entry);
        servers =
                new ServerList(
                        List.of(
                                new EndpointRecord(
                                        "i1",
                                        "s",
                                        "n1",
                                        "a",
                                        peerAddress,
                                        1,
                                        1,
                                        2,
                                        10,
                                        EndpointState.READY,
                                        0)));
        configuration.set(configured());
    }

    private static Configuration configured() {
        List<Route> routes = new ArrayList<>();
        for (String name : List.of("safe", "once")) {
            routes.add(
                    new Route(
                            name,
                            "h",
                            "/" + name + "/",
                            new TreeSet<>(),
                            "k",
                            name.equals("safe"),
                            2_000,
                            1,
                            "p"));
        }
        Pool pool = new Pool("p", "s", BalancePolicy.LEAST_LOADED, 9, 9, 0);
        Tables tables = Tables.of(List.of(new Rank("k", 0, 1, 0)), routes, List.of(pool));
        return new Configuration(1, tables, Map.of(), ClientLimits.DEFAULT);
    }

    private HttpListener listen(ExchangeHandler handler) throws KernelException {
        HttpListener listener =
                new HttpListener(group, Clock.system(), () -> ClientLimits.DEFAULT, handler);
        listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return listener;
    }

    private ServerList servers() {
        return servers;
    }

    /** Returns the port of the entry node. */
    int port() {
        return entryPort.address().getPort();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
