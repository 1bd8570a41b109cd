package dev.zinniaring.soak;

import dev.zinniaring.calls.Addresses;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.platform.BackendServerProtocol;
import dev.zinniaring.standins.RowStoreServer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/** The nodes of a run as processes, each with a backend server and fault-injecting proxies. */
final class Fleet implements AutoCloseable {
    /** Time that a node may take to shut down, in seconds. */
    static final int GRACE_SECONDS = 6;

    private static final int ZONES = 2;
    private static final String SERVICE = "\"service\":\"%s\"";

    /** Servers that a service keeps when one is taken over. */
    private static final int MIN_SERVERS = 3;

    private static final String NODES_TABLE = "zinniaring-nodes";
    private static final int ODD_ROWS = 6;
    private static final int MAX_ODD_BYTES = 200;

    /**
     * First port of each node, below the ephemeral range; every node has a loopback address of its
     * own. With a free ephemeral port, a connection of another run could take the port before the
     * node opened it.
     */
    private static final int FIRST_PORT = 20_001;

    private static final int PORTS_PER_NODE = 5;
    private static final int ADDRESS_BYTE_VALUES = 250;
    private static final long START_TIMEOUT_SECONDS = 30;

    private final EventLoopGroup serverLoop = new NioEventLoopGroup(1);
    private final EventLoopGroup proxyLoop = new NioEventLoopGroup(1);
    private final OkHttpClient client =
            new OkHttpClient.Builder()
                    .callTimeout(Duration.ofSeconds(1))
                    .retryOnConnectionFailure(false)
                    .build();
    private final RowStoreServer store;
    private final Operator operator;
    private final Observations observations;
    private final List<Member> members = new ArrayList<>();
    private final List<EndingSender> endingSenders = new ArrayList<>();
    private final SplittableRandom oddBytes;
    private final Path directory;
    private final @Nullable Stutter stutter;
    private final List<String> services = new ArrayList<>();
    private int stoppedSenders;
    private final AtomicReference<RowStoreServer.@Nullable Copy> storeCopy =
            new AtomicReference<>();

    /** Shutdown hook that kills the nodes if the run is interrupted. */
    private final Thread shutdownHook = new Thread(this::killProcesses);

    /**
     * One node with its backend server and proxies.
     *
     * @param toStore proxy between the node and the store
     * @param toNode proxy between other nodes and the node
     * @param calls address on which the node accepts calls
     * @param readiness address of the readiness endpoint
     */
    record Member(
            NodeProcess process,
            ObservedServer server,
            LoopbackProxy toStore,
            LoopbackProxy toNode,
            InetSocketAddress calls,
            InetSocketAddress readiness) {}

    /**
     * Creates the servers, proxies and settings files; no node process is started yet.
     *
     * @param directory directory for the settings and the output of the nodes
     * @param stutter draws work and answers of the servers, if not null
     */
    Fleet(
            long seed,
            int nodes,
            Path directory,
            Clock clock,
            Observations observations,
            SplittableRandom random,
            @Nullable Stutter stutter)
            throws KernelException, IOException {
        this.observations = observations;
        this.directory = directory;
        this.stutter = stutter;
        oddBytes = new SplittableRandom(seed);
        store = RowStoreServer.start();
        operator = new Operator(store, observations);
        Files.createDirectories(directory);
        for (int i = 0; i < nodes; i++) {
            members.add(member(seed, i, directory, clock, random.split()));
        }
    }

    private static List<InetSocketAddress> ports(long seed, int index) {
        String address =
                "127.%d.%d.%d"
                        .formatted(
                                1 + ProcessHandle.current().pid() % ADDRESS_BYTE_VALUES,
                                seed % ADDRESS_BYTE_VALUES,
                                1 + index);
        List<InetSocketAddress> ports = new ArrayList<>();
        for (int i = 0; i < PORTS_PER_NODE; i++) {
            ports.add(new InetSocketAddress(address, FIRST_PORT + i));
        }
        return ports;
    }

    private Member member(
            long seed, int index, Path directory, Clock clock, SplittableRandom random)
            throws KernelException, IOException {
        String zone = "zone-" + index / Operator.SERVICES.size() % ZONES;
        ObservedServer server =
                new ObservedServer(
                        index, zone, serverLoop, client, clock, observations, random, stutter);
        LoopbackProxy toServer = LoopbackProxy.start(proxyLoop, clock, server.address());
        if (stutter != null) {
            toServer.passResets();
        }
        LoopbackProxy toStore = LoopbackProxy.start(proxyLoop, clock, store.address());
        List<InetSocketAddress> ports = ports(seed, index);
        LoopbackProxy toNode = LoopbackProxy.start(proxyLoop, clock, ports.get(1));
        String settings =
                """
                {"nodeId":"node-%d","zone":"%s","service":"%s","server":"%s","calls":"%s",
                "peerCalls":"%s","announcedPeerCalls":"%s","readiness":"%s","announcements":"%s",
                "operations":"%s","store":"%s","graceSeconds":%d,"repeatRatio":0.2,
                "repeatAllowance":60,"repeatWindowSeconds":10}
                """
                        .formatted(
                                index,
                                zone,
                                server.service(),
                                Addresses.text(toServer.address()),
                                Addresses.text(ports.get(0)),
                                Addresses.text(ports.get(1)),
                                Addresses.text(toNode.address()),
                                Addresses.text(ports.get(2)),
                                Addresses.text(ports.get(3)),
                                Addresses.text(ports.get(4)),
                                Addresses.text(toStore.address()),
                                GRACE_SECONDS);
        services.add(server.service());
        Path file = settings(index);
        Files.writeString(file, settings);
        NodeProcess process =
                new NodeProcess(
                        file,
                        directory.resolve("node-%d.log".formatted(index)),
                        TimeUnit.SECONDS.toMillis(GRACE_SECONDS),
                        clock,
                        finding -> observations.finding("node-" + index + ": " + finding));
        server.announce(toServer, ports.get(3), ports.get(0));
        return new Member(process, server, toStore, toNode, ports.get(0), ports.get(2));
    }

    private Path settings(int index) {
        return directory.resolve("node-%d.json".formatted(index));
    }

    /**
     * Writes the first configuration, starts every node and waits until all are ready.
     *
     * @throws SoakException if a node does not become ready in time
     */
    void start() throws SoakException, InterruptedException {
        operator.change();
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        members.forEach(member -> member.process().start());
        for (int i = 0; i < members.size(); i++) {
            awaitReady(i);
        }
    }

    private void awaitReady(int index) throws SoakException, InterruptedException {
        long timeoutMillis =
                observations.nowMillis() + TimeUnit.SECONDS.toMillis(START_TIMEOUT_SECONDS);
        while (!ready(index)) {
            if (observations.nowMillis() > timeoutMillis) {
                throw new SoakException("node-" + index + " did not become ready in time");
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private boolean ready(int index) {
        Request request =
                new Request.Builder()
                        .url(
                                "http://%s%s"
                                        .formatted(
                                                Addresses.text(members.get(index).readiness()),
                                                BackendServerProtocol.READY_PATH))
                        .build();
        try (Response response = client.newCall(request).execute()) {
            return response.code() == 200;
        } catch (IOException e) {
            // Connections are refused until the node listens; awaitReady enforces the time-out.
            return false;
        }
    }

    /** Starts to send a request that ends each server that runs it. */
    void startEndingRequest() {
        EndingSender sender =
                new EndingSender(
                        callAddresses(),
                        client,
                        new SplittableRandom(endingSenders.size()),
                        endingSenders.size());
        endingSenders.add(sender);
        sender.start();
    }

    /** Stops the sender that was started first and still sends. */
    void stopEndingRequest() {
        EndingSender first = endingSenders.get(stoppedSenders);
        stoppedSenders++;
        first.stop();
    }

    /** Writes rows that name no server, one of them in place of a node's row. */
    void writeOddRows(int index) {
        for (int i = 0; i < ODD_ROWS; i++) {
            byte[] odd = new byte[1 + oddBytes.nextInt(MAX_ODD_BYTES)];
            oddBytes.nextBytes(odd);
            String key = i == 0 ? "node-" + index : "odd-" + i;
            store.write(NODES_TABLE, key, Base64.getEncoder().encodeToString(odd));
        }
    }

    /**
     * Ends a backend server and its node; a server of another service takes over its address,
     * unless none would be left of the old one.
     */
    void takeOver(int index) {
        String old = services.get(index);
        if (services.stream().filter(old::equals).count() < MIN_SERVERS) {
            return;
        }
        String next = Operator.SERVICES.get(1 - Operator.SERVICES.indexOf(old));
        services.set(index, next);
        member(index).process().kill();
        member(index).server().handOver(next);
        try {
            String text = Files.readString(settings(index));
            Files.writeString(
                    settings(index), text.replace(SERVICE.formatted(old), SERVICE.formatted(next)));
        } catch (IOException e) {
            observations.finding("settings of node-" + index + " not written: " + e.getMessage());
        }
    }

    /** Keeps a copy of the store for {@link #restoreStore}. */
    void copyStore() {
        storeCopy.set(store.copy());
    }

    /** Restores the store from the kept copy; the operator writes its latest version again. */
    void restoreStore() {
        RowStoreServer.Copy copy = storeCopy.getAndSet(null);
        if (copy != null) {
            store.restore(copy);
            operator.writeAgain();
        }
    }

    RowStoreServer store() {
        return store;
    }

    Operator operator() {
        return operator;
    }

    Member member(int index) {
        return members.get(index);
    }

    int size() {
        return members.size();
    }

    List<InetSocketAddress> callAddresses() {
        return members.stream().map(Member::calls).toList();
    }

    @Override
    public void close() {
        endingSenders.forEach(EndingSender::stop);
        killProcesses();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        store.close();
        serverLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        proxyLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private void killProcesses() {
        members.forEach(member -> member.process().close());
    }
}
