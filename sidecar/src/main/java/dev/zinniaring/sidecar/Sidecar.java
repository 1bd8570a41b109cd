package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Addresses;
import dev.zinniaring.calls.Answer;
import dev.zinniaring.calls.CallCounters;
import dev.zinniaring.calls.ClientLimits;
import dev.zinniaring.calls.Configuration;
import dev.zinniaring.calls.EntryCalls;
import dev.zinniaring.calls.EntrySettings;
import dev.zinniaring.calls.Exchange;
import dev.zinniaring.calls.ExchangeHandler;
import dev.zinniaring.calls.HeaderNames;
import dev.zinniaring.calls.HttpListener;
import dev.zinniaring.calls.HttpSender;
import dev.zinniaring.calls.OwnerCalls;
import dev.zinniaring.calls.PeerCalls;
import dev.zinniaring.calls.PeerSender;
import dev.zinniaring.calls.ServerSettings;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.store.RowPage;
import dev.zinniaring.store.RowStore;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The process beside a backend server, without what is particular to a platform: it follows the
 * store, keeps the list of backend servers, and carries calls. Everything runs on one event loop;
 * documents of operators are read on another thread.
 */
public final class Sidecar {
    /** Table with a row for each node. */
    static final String NODES = "zinniaring-nodes";

    private static final Logger log = LoggerFactory.getLogger("node");

    /**
     * The store holds a question about the configuration for at most this long: a connection can go
     * silent for good, which only the missing answer shows.
     */
    private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(1_500);

    /** The same for the nodes' table, where nodes also tell each other of changes. */
    private static final Duration NODES_WAIT = Duration.ofSeconds(5);

    /** Changes of the configuration that come within this time are read together. */
    private static final Duration CONFIGURATION_PAUSE = Duration.ofMillis(300);

    /** The same for the nodes' table. */
    private static final Duration NODES_PAUSE = Duration.ofMillis(250);

    /** A node follows the store itself if nobody has confirmed for this long what it knows. */
    private static final long STALE_MILLIS = 3_000;

    private static final Duration SWEEP_PERIOD = Duration.ofMillis(100);
    private static final int SWEEPS_PER_CLEANING = 100;
    private static final Duration GOSSIP_PERIOD = Duration.ofMillis(500);

    /** The list of backend servers may be missing for this long before the node takes calls. */
    private static final Duration FIRST_LIST = Duration.ofSeconds(2);

    private final SidecarSettings settings;
    private final RowStore store;
    private final StoreTables tables;
    private final Clock clock;
    private final EventLoop loop;
    private final EventLoopGroup group;
    private final LoopScheduler scheduler;
    private final RandomGenerator random;
    private final HttpSender sender;
    private final CallCounters counters;
    private final Versions versions;
    private final OwnServer server;
    private final ServerDirectory directory = new ServerDirectory();
    private final OwnerCalls owner;
    private final PeerSender peers;
    private final EntryCalls entry;
    private final PeerCalls peerCalls;
    private final HttpListener callListener;
    private final HttpListener peerListener;
    private final TableFollower configurationTable;
    private final TableFollower nodesTable;
    private final Freshness freshness;
    private final RecordWriter writer;
    private final PeerGossip gossip;
    private final ServerProbe probe;
    private final Shutdown shutdown;
    private final Executor reading;
    private final OwnRecord own;
    private boolean listed;
    private long sweeps;
    private long startNanos;

    /** What a platform brings: where things are kept, and what the bytes and headers mean. */
    public record StoreTables(
            String configurationTable, String configurationKey, ConfigurationReader reader) {}

    /**
     * Puts a process together.
     *
     * @param group an event loop group of one thread
     * @param reading runs what takes long
     */
    public Sidecar(
            SidecarSettings settings,
            RowStore store,
            StoreTables tables,
            HeaderNames names,
            EventLoopGroup group,
            Executor reading,
            HttpSender sender,
            PrometheusRegistry registry,
            Clock clock,
            RandomGenerator random) {
        this.settings = settings;
        this.store = store;
        this.tables = tables;
        this.clock = clock;
        this.group = group;
        this.reading = reading;
        this.loop = group.next();
        this.scheduler = new LoopScheduler(loop);
        this.random = random;
        this.sender = sender;
        this.counters = new CallCounters(registry);
        this.versions = new Versions(tables.reader());
        this.server =
                new OwnServer(clock, settings.service(), settings.server(), this::serverSettings);
        this.owner = new OwnerCalls(sender, names, clock, counters, server::local);
        this.peers = new PeerSender(sender, names, clock, counters);
        this.entry = entryCalls(names);
        this.peerCalls = new PeerCalls(owner, names);
        this.callListener = listener(this::limits, entry);
        this.peerListener = listener(() -> limits().forPeers(), this::fromPeer);
        this.configurationTable =
                follower(
                        tables.configurationTable(),
                        CONFIGURATION_WAIT,
                        CONFIGURATION_PAUSE,
                        this::configurationRows);
        this.nodesTable = follower(NODES, NODES_WAIT, NODES_PAUSE, this::nodeRows);
        this.freshness = new Freshness(clock);
        this.writer = new RecordWriter(store, NODES, settings.nodeId(), scheduler, random);
        this.gossip =
                new PeerGossip(
                        sender,
                        clock,
                        random,
                        reading,
                        versions,
                        directory,
                        freshness,
                        this::digest,
                        this::storeFailing,
                        peerAddress(),
                        settings.zone());
        configurationTable.onFailure(gossip::push);
        versions.onChange(() -> scheduler.execute(this::versionChanged));
        this.probe = new ServerProbe(sender, names, settings.server());
        this.shutdown = new Shutdown(settings, clock, scheduler, this::inFlight);
        this.own =
                new OwnRecord(
                        settings,
                        clock,
                        server,
                        this::serverSettings,
                        shutdown::begun,
                        this::published);
    }

    private EntryCalls entryCalls(HeaderNames names) {
        EntrySettings entrySettings =
                new EntrySettings(
                        settings.zone(),
                        settings.service(),
                        peerAddress(),
                        settings.repeatRatio(),
                        settings.repeatAllowance(),
                        settings.repeatWindow());
        return EntryCalls.builder(entrySettings)
                .names(names)
                .clock(clock)
                .random(random)
                .loop(loop)
                .owner(owner)
                .peers(peers)
                .counters(counters)
                .configurations(versions::inForce)
                .servers(directory::servers)
                .build();
    }

    private HttpListener listener(Supplier<ClientLimits> limits, ExchangeHandler handler) {
        return new HttpListener(group, clock, limits, handler);
    }

    private TableFollower follower(
            String table, Duration wait, Duration pause, BiConsumer<RowPage, Boolean> pages) {
        return new TableFollower(store, table, scheduler, clock, random, wait, pause, pages);
    }

    private ClientLimits limits() {
        Configuration now = versions.inForce();
        return now == null ? ClientLimits.DEFAULT : now.limits();
    }

    private ServerSettings serverSettings() {
        Configuration now = versions.inForce();
        return now == null
                ? new ServerSettings("/health", Integer.MAX_VALUE)
                : now.server(settings.service());
    }

    private String peerAddress() {
        return Addresses.text(settings.announcedPeerCalls());
    }

    /**
     * Opens the ports and begins to follow the store.
     *
     * @throws KernelException if a port cannot be opened
     */
    public void start() throws KernelException {
        startNanos = clock.nanos();
        owner.onMisdirected(this::serverMisdirected);
        callListener.start(settings.calls());
        peerListener.start(settings.peerCalls());
        scheduler.execute(this::chooseSource);
        scheduler.every(SWEEP_PERIOD, this::sweep);
        scheduler.every(GOSSIP_PERIOD, gossip::tick);
        log.info(
                "started node={} zone={} service={} server={}",
                settings.nodeId(),
                settings.zone(),
                settings.service(),
                settings.server());
    }

    /** Returns where callers send calls; known after the start. */
    public InetSocketAddress callAddress() {
        return callListener.address();
    }

    /** Returns where other nodes send calls; known after the start. */
    public InetSocketAddress peerCallAddress() {
        return peerListener.address();
    }

    private void sweep() {
        sweeps++;
        if (sweeps % SWEEPS_PER_CLEANING == 0) {
            entry.forgetGone();
        }
        chooseSource();
        peers.sweep();
        owner.pump();
        sender.sweep();
    }

    /** Follows the store if this node reads for its zone, or if nobody else seems to. */
    private void chooseSource() {
        boolean stale = freshness.ageMillis() > STALE_MILLIS;
        if (stale || gossip.reader() || versions.inForce() == null || !listed) {
            configurationTable.start();
            nodesTable.start();
        } else {
            configurationTable.stop();
            nodesTable.stop();
        }
    }

    private boolean storeFailing() {
        return configurationTable.failing();
    }

    private void serverMisdirected() {
        log.warn("another backend server answers at address={}", settings.server());
        server.forget();
        probe.reset();
        scheduler.execute(this::probeServer);
    }

    private void versionChanged() {
        gossip.push();
        probeServer();
    }

    /** Asks the backend server who it is, if it has not announced itself to this life yet. */
    private void probeServer() {
        if (server.latest() != null || shutdown.begun() || versions.inForce() == null) {
            return;
        }
        probe.ask(
                serverSettings().healthPath(),
                found -> {
                    if (server.probed(found.serverId(), found.slots())) {
                        log.info("found by its health check server={}", found.serverId());
                        own.publish();
                    }
                });
    }

    private void configurationRows(RowPage page, boolean whole) {
        freshness.confirmed(0);
        for (RowPage.TableRow row : page.rows()) {
            if (row.key().equals(tables.configurationKey()) && !row.deleted()) {
                reading.execute(() -> versions.offer(row.value(), "store"));
            }
        }
    }

    private void nodeRows(RowPage page, boolean whole) {
        List<EndpointRecord> records = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        for (RowPage.TableRow row : page.rows()) {
            if (row.key().equals(settings.nodeId())) {
                writer.seen(row.revision());
            }
            if (row.deleted()) {
                gone.add(row.key());
            } else {
                records.addAll(decode(row));
            }
        }
        if (whole) {
            directory.replaceStored(records, page.revision());
        } else {
            directory.mergeStored(records, gone, page.revision());
        }
        own.checkIncarnation(records);
        listed = true;
        if (!page.rows().isEmpty()) {
            gossip.push();
        }
    }

    private static List<EndpointRecord> decode(RowPage.TableRow row) {
        try {
            return RecordCodec.decode(row.value());
        } catch (SidecarException e) {
            log.warn("refused row key={} cause=\"{}\"", row.key(), e.getMessage());
            return List.of();
        }
    }

    private Digest digest() {
        return new Digest(
                versions.number(),
                directory.revision(),
                storeFailing() ? Freshness.NEVER_MILLIS : freshness.ageMillis(),
                own.told());
    }

    private void fromPeer(Exchange exchange) {
        if (PeerCalls.isCall(exchange)) {
            peerCalls.handle(exchange);
        } else if (exchange.path().equals(PeerSender.ALIVE_PATH)) {
            exchange.answer(Answer.of(200));
        } else {
            gossip.handle(exchange);
        }
    }

    /** Takes an announcement; returns whether it was one of this VM's backend server. */
    public boolean announced(Announcement announcement) {
        OwnServer.Change change = server.announced(announcement);
        return applied(change, announcement.serverId());
    }

    /** Takes the withdrawal of a backend server; returns whether it is this VM's. */
    public boolean withdrawn(String serverId, Optional<Long> bornMillis) {
        return applied(server.withdrawn(serverId, bornMillis), serverId);
    }

    private boolean applied(OwnServer.Change change, String serverId) {
        if (change == OwnServer.Change.REFUSED) {
            counters.increment("announcements_refused");
            log.info("refused an announcement server={}", serverId);
            return false;
        }
        if (change == OwnServer.Change.NONE) {
            return true;
        }
        Announcement known = server.latest();
        log.info(
                "backend server changed server={} change={} leaving={}",
                serverId,
                change,
                known != null && known.leaving());
        if (change == OwnServer.Change.LIFE) {
            owner.serverReplaced();
        }
        if (known != null && known.leaving()) {
            owner.refuseWaiting("leaving");
        }
        own.publish();
        return true;
    }

    private void published(EndpointRecord record) {
        directory.merge(List.of(record));
        writer.write(record);
    }

    /** Returns whether clients may send calls here. */
    public boolean ready() {
        boolean listedOrLate = listed || clock.since(startNanos).compareTo(FIRST_LIST) > 0;
        return versions.inForce() != null && listedOrLate && !shutdown.begun();
    }

    /** Leaves the mesh, lets calls end, and then runs an action; may be called from any thread. */
    public void shutDown(Runnable then) {
        scheduler.execute(
                () -> {
                    if (shutdown.begun()) {
                        return;
                    }
                    log.info("leaving node={} in_flight={}", settings.nodeId(), inFlight());
                    callListener.drain();
                    peerListener.drain();
                    shutdown.begin(() -> owner.refuse("node-leaving"), entry::leave, then);
                    own.publish();
                });
    }

    private int inFlight() {
        return callListener.inFlight() + peerListener.inFlight();
    }

    /** Returns the state of the process. Runs on the event loop. */
    public SidecarState state() {
        return new SidecarState(
                settings.nodeId(),
                ready(),
                versions.number(),
                directory.revision(),
                freshness.ageMillis(),
                String.valueOf(server.latest()),
                owner.running(),
                owner.waiting(),
                callListener.connections(),
                directory.records());
    }
}
