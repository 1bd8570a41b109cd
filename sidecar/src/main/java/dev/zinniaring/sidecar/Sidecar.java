package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Addresses;
import dev.zinniaring.calls.CallCounters;
import dev.zinniaring.calls.Exchange;
import dev.zinniaring.calls.HeaderNames;
import dev.zinniaring.calls.HttpListener;
import dev.zinniaring.calls.LoopMetrics;
import dev.zinniaring.calls.PeerCalls;
import dev.zinniaring.calls.PooledHttpClient;
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
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The platform-independent part of a sidecar process: watches the store, maintains the list of
 * backend servers and forwards calls. Everything runs on one event loop, except that configuration
 * documents are read on another thread.
 */
public final class Sidecar {
    private static final Logger log = LoggerFactory.getLogger("node");

    /**
     * Longest time for which the store holds a long poll for the configuration. Short, since a dead
     * connection is noticed only by the missing response, and tells other nodes when it was last
     * confirmed.
     */
    private static final Duration CONFIGURATION_POLL_TIMEOUT = Duration.ofMillis(600);

    /** Same for the nodes table; longer, since nodes also push these changes to each other. */
    private static final Duration NODES_POLL_TIMEOUT = Duration.ofSeconds(5);

    /** Delay between polls of the configuration, within which changes are batched. */
    private static final Duration CONFIGURATION_POLL_DELAY = Duration.ofMillis(300);

    /** Same for the nodes table. */
    private static final Duration NODES_POLL_DELAY = Duration.ofMillis(250);

    /** A node watches the store itself if its state has not been confirmed for this long. */
    private static final long STALE_MILLIS = 3_000;

    private static final Duration SWEEP_PERIOD = Duration.ofMillis(100);
    private static final int SWEEPS_PER_PURGE = 100;
    private static final Duration GOSSIP_PERIOD = Duration.ofMillis(500);

    /**
     * Readiness waits at most this long after the start for the list of backend servers, and for
     * what peers know of requests that crash servers.
     */
    private static final Duration INITIAL_LIST_TIMEOUT = Duration.ofSeconds(2);

    private final SidecarSettings settings;
    private final RowStore store;
    private final ConfigurationSource configurationSource;
    private final Clock clock;
    private final EventLoop loop;
    private final EventLoopGroup group;
    private final LoopScheduler scheduler;
    private final RandomGenerator random;
    private final PooledHttpClient client;
    private final CallCounters counters;
    private final ActiveConfiguration activeConfiguration;
    private final LocalServerTracker serverTracker;
    private final ServerDirectory directory = new ServerDirectory();
    private final Coordination control;
    private final CallPath calls;
    private final PeerCalls peerCalls;
    private final HttpListener callListener;
    private final HttpListener peerListener;
    private final TableWatcher configurationWatcher;
    private final TableWatcher nodesWatcher;
    private final Freshness freshness;
    private final RecordWriter writer;
    private final SuspectGossip suspects;
    private final PeerGossip gossip;
    private final ServerProbe probe;
    private final GracefulShutdown shutdown;
    private final ConfigurationInbox inbox;
    private final LocalRecordPublisher localRecord;
    private final NodesTable nodesTable;
    private final BackendServerEvents server;
    private final KeyConfirmations keyConfirmations;
    private final LoopLag loopLag;
    private boolean nodesListed;
    private long sweeps;
    private long startNanos;

    /**
     * Assembles a sidecar; {@link #start} runs it.
     *
     * @param group an event loop group of one thread
     * @param parseExecutor reads configuration documents, which would block the event loop
     */
    public Sidecar(
            SidecarSettings settings,
            RowStore store,
            ConfigurationSource configurationSource,
            HeaderNames names,
            EventLoopGroup group,
            Executor parseExecutor,
            PooledHttpClient client,
            PrometheusRegistry registry,
            Clock clock,
            RandomGenerator random) {
        this.settings = settings;
        this.store = store;
        this.configurationSource = configurationSource;
        this.clock = clock;
        this.group = group;
        this.loop = group.next();
        this.scheduler = new LoopScheduler(loop);
        this.random = random;
        this.client = client;
        this.counters = new CallCounters(registry);
        LoopMetrics metrics = new LoopMetrics(registry);
        this.loopLag = new LoopLag(clock, SWEEP_PERIOD, metrics::lagged);
        this.activeConfiguration = activeConfiguration(registry);
        this.inbox = new ConfigurationInbox(activeConfiguration, parseExecutor);
        this.serverTracker = serverTracker();
        PeerClient peerClient = new PeerClient(client);
        this.control = coordination(peerClient);
        this.calls =
                CallPath.builder(settings)
                        .names(names)
                        .clock(clock)
                        .random(random)
                        .loop(loop)
                        .client(client)
                        .counters(counters)
                        .localServer(serverTracker::local)
                        .configurations(activeConfiguration::get)
                        .servers(directory::servers)
                        .control(control)
                        .build();
        this.peerCalls = new PeerCalls(calls.owner(), names);
        this.callListener = callListener(metrics);
        this.peerListener = peerListener();
        this.configurationWatcher =
                watcher(
                        configurationSource.configurationTable(),
                        CONFIGURATION_POLL_TIMEOUT,
                        CONFIGURATION_POLL_DELAY,
                        this::onConfigurationRows);
        this.nodesWatcher = nodesWatcher();
        this.freshness = new Freshness(clock);
        this.writer =
                new RecordWriter(store, NodesTable.NAME, settings.nodeId(), scheduler, random);
        this.suspects = suspectGossip(peerClient);
        this.gossip = peerGossip(peerClient);
        this.probe = new ServerProbe(client, names, settings.server());
        this.shutdown = gracefulShutdown(names);
        this.localRecord =
                new LocalRecordPublisher(
                        settings,
                        clock,
                        serverTracker,
                        this::serverSettings,
                        shutdown::started,
                        this::publishRecord);
        this.nodesTable = nodesTable();
        this.server = serverEvents();
        this.keyConfirmations = new KeyConfirmations(control.keys(), inbox, scheduler::execute);
    }

    private BackendServerEvents serverEvents() {
        return new BackendServerEvents(
                serverTracker,
                calls.owner(),
                localRecord,
                probe,
                this::serverSettings,
                () -> !shutdown.started() && activeConfiguration.get() != null,
                scheduler::execute,
                counters);
    }

    private Coordination coordination(PeerClient peerClient) {
        return new Coordination(
                settings,
                store,
                configurationSource.rollouts(),
                peerClient,
                clock,
                scheduler,
                random,
                counters,
                activeConfiguration::get,
                () -> directory.servers().nodes(),
                () -> nodesListed && !shutdown.started() && gossip.isReader(),
                peerAddress());
    }

    private LocalServerTracker serverTracker() {
        return new LocalServerTracker(
                clock, settings.service(), settings.server(), this::serverSettings);
    }

    private ActiveConfiguration activeConfiguration(PrometheusRegistry registry) {
        return new ActiveConfiguration(
                configurationSource.reader(), new ConfigurationMetrics(registry), clock);
    }

    private HttpListener callListener(LoopMetrics metrics) {
        HttpListener listener =
                new HttpListener(group, clock, activeConfiguration::limits, calls.entry());
        listener.onStart(metrics::started);
        listener.onHeadRefused(() -> counters.increment("heads_refused"));
        return listener;
    }

    private GracefulShutdown gracefulShutdown(HeaderNames names) {
        return new GracefulShutdown(
                settings.grace(),
                clock,
                scheduler,
                new ListenerCalls(callListener, peerListener, calls, names));
    }

    private NodesTable nodesTable() {
        return new NodesTable(
                store, settings.nodeId(), directory, writer, localRecord, gossip::isReader);
    }

    private SuspectGossip suspectGossip(PeerClient peerClient) {
        return new SuspectGossip(
                peerClient,
                calls.guard(),
                random,
                counters,
                directory::present,
                peerAddress(),
                settings.zone());
    }

    private PeerGossip peerGossip(PeerClient peerClient) {
        return new PeerGossip(
                peerClient,
                clock,
                random,
                scheduler::execute,
                inbox,
                activeConfiguration,
                directory,
                freshness,
                suspects,
                this::digest,
                this::storeFailing,
                peerAddress(),
                settings.zone());
    }

    private HttpListener peerListener() {
        return callListener.sibling(
                () -> activeConfiguration.limits().forPeers(),
                new PeerRequests(peerCalls, this::handlePeerRequest));
    }

    private void handlePeerRequest(Exchange exchange) {
        if (exchange.path().equals(Coordination.PATH)) {
            control.handle(exchange);
        } else {
            gossip.handle(exchange);
        }
    }

    private TableWatcher nodesWatcher() {
        return watcher(NodesTable.NAME, NODES_POLL_TIMEOUT, NODES_POLL_DELAY, this::onNodeRows);
    }

    private TableWatcher watcher(
            String table,
            Duration pollTimeout,
            Duration pollDelay,
            BiConsumer<RowPage, Boolean> pageHandler) {
        return new TableWatcher(
                store, table, scheduler, clock, random, pollTimeout, pollDelay, pageHandler);
    }

    private ServerSettings serverSettings() {
        return activeConfiguration.server(settings.service());
    }

    private String peerAddress() {
        return Addresses.text(settings.announcedPeerCalls());
    }

    /**
     * Opens the ports and starts watching the store.
     *
     * @throws KernelException if a port cannot be opened
     */
    public void start() throws KernelException {
        startNanos = clock.nanos();
        followStoreEra();
        configurationWatcher.onFailure(gossip::push);
        activeConfiguration.onChange(() -> scheduler.execute(this::onConfigurationChanged));
        gossip.onControl(control::heard);
        gossip.onRecords(records -> onRestored(localRecord.restore(records)));
        calls.owner().onMisdirected(server::misdirected);
        calls.owner().onLeaving(server::saidLeaving);
        calls.owner().onSuspects(suspects::pushNews);
        callListener.start(settings.calls());
        peerListener.start(settings.peerCalls());
        scheduler.execute(this::updateStoreWatch);
        scheduler.every(SWEEP_PERIOD, this::sweep);
        scheduler.every(GOSSIP_PERIOD, gossip::tick);
        control.start();
        log.info(
                "started node={} zone={} service={} server={}",
                settings.nodeId(),
                settings.zone(),
                settings.service(),
                settings.server());
    }

    private void followStoreEra() {
        StoreEraMonitor monitor =
                new StoreEraMonitor(
                        directory,
                        List.of(configurationWatcher, nodesWatcher),
                        gossip,
                        writer,
                        scheduler,
                        random,
                        counters);
        store.onEra(era -> monitor.onEra(era, "store"));
        gossip.onEra(era -> monitor.onEra(era, "peer"));
    }

    /** Returns the address for the calls of clients; available after {@link #start}. */
    public InetSocketAddress callAddress() {
        return callListener.address();
    }

    /** Returns the address for the calls of other nodes; available after {@link #start}. */
    public InetSocketAddress peerCallAddress() {
        return peerListener.address();
    }

    private void sweep() {
        loopLag.sample();
        sweeps++;
        if (sweeps % SWEEPS_PER_PURGE == 0) {
            calls.entry().pruneServerStats();
            calls.guard().expire();
        }
        suspects.pushNews();
        updateStoreWatch();
        calls.peers().probeSilentNodes();
        calls.owner().dispatchWaiting();
        client.closeExpiredConnections();
    }

    /** Watches the store if this node is the reader of its zone or lacks confirmed state. */
    private void updateStoreWatch() {
        boolean stale = freshness.ageMillis() > STALE_MILLIS;
        boolean reads =
                stale || gossip.isReader() || activeConfiguration.get() == null || !nodesListed;
        configurationWatcher.run(reads || gossip.readerSilent() || control.leading());
        nodesWatcher.run(reads);
    }

    private boolean storeFailing() {
        return configurationWatcher.failing();
    }

    private void onConfigurationChanged() {
        gossip.push();
        server.probeServer();
    }

    private void onConfigurationRows(RowPage page, boolean complete) {
        freshness.recordConfirmation(0);
        List<ConfigurationDocument> documents = new ArrayList<>();
        for (RowPage.TableRow row : page.rows()) {
            if (row.key().equals(configurationSource.configurationKey()) && !row.deleted()) {
                documents.add(ConfigurationDocument.plain(row.value(), "store", clock.nanos()));
            }
        }
        control.onOrderRows(page, complete);
        keyConfirmations.answered(configurationWatcher.asked(), documents);
    }

    private void onNodeRows(RowPage page, boolean complete) {
        onRestored(nodesTable.apply(page, complete));
        nodesListed = true;
        suspects.askAtStart();
        if (!page.rows().isEmpty()) {
            gossip.push();
        }
    }

    private void onRestored(boolean serverLeft) {
        if (serverLeft) {
            calls.owner().refuseWaiting("leaving");
        }
    }

    private Digest digest() {
        return new Digest(
                activeConfiguration.number(),
                directory.era(),
                directory.revision(),
                storeFailing() ? Freshness.NEVER_MILLIS : freshness.ageMillis(),
                localRecord.current(),
                calls.guard().hash(),
                control.digest());
    }

    /**
     * Handles an announcement of a backend server.
     *
     * @return false if it is not from this VM's backend server or from an ended incarnation
     */
    public boolean handleAnnouncement(Announcement announcement) {
        return server.announced(announcement);
    }

    /**
     * Handles the deregistration of a backend server.
     *
     * @param bornMillis start of the incarnation that ends, or empty if unknown
     * @return false if it does not concern the current incarnation of this VM's backend server
     */
    public boolean handleDeregistration(String serverId, Optional<Long> bornMillis) {
        return server.deregistered(serverId, bornMillis);
    }

    private void publishRecord(EndpointRecord record) {
        directory.merge(List.of(record));
        writer.write(record);
    }

    /** Returns the number of calls that clients have sent. May be called from any thread. */
    public int receivedCalls() {
        return calls.entry().received();
    }

    /** Returns whether this node is ready for calls of clients. */
    public boolean ready() {
        boolean listedOrTimedOut =
                (nodesListed && suspects.informed())
                        || clock.since(startNanos).compareTo(INITIAL_LIST_TIMEOUT) > 0;
        return activeConfiguration.get() != null && listedOrTimedOut && !shutdown.started();
    }

    /**
     * Leaves the mesh, waits for calls in flight, and then runs an action. May be called from any
     * thread; only the first call has an effect.
     */
    public void shutDown(Runnable onStopped) {
        long requestedNanos = clock.nanos();
        scheduler.execute(
                () -> {
                    if (!shutdown.started()) {
                        shutdown.start(requestedNanos, onStopped);
                        control.stop();
                        localRecord.publishLast(
                                ended -> probe.checkEnded(serverSettings().healthPath(), ended));
                    }
                });
    }

    /** Returns the current state. Must be called on the event loop. */
    public SidecarState state() {
        return new SidecarState(
                settings.nodeId(),
                ready(),
                activeConfiguration.number(),
                directory.era(),
                directory.revision(),
                freshness.ageMillis(),
                String.valueOf(serverTracker.latest()),
                calls.owner().running(),
                calls.owner().waiting(),
                callListener.connections(),
                calls.owner().latestRuns(),
                control.toString(),
                directory.records());
    }
}
