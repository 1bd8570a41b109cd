package dev.zinniaring.node;

import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.admission.IdempotencyMemory;
import dev.zinniaring.calls.CutCalls;
import dev.zinniaring.calls.StopAdmission;
import dev.zinniaring.distribution.Endpoints;
import dev.zinniaring.distribution.Versions;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.kernel.Plugin;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.Tables;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The call path: the listeners for callers and for other nodes, and the handling of their calls.
 */
final class CallsPlugin implements Plugin {
    private static final Logger log = LoggerFactory.getLogger(CallsPlugin.class);
    private static final Duration QUEUE_EXPIRY_PERIOD = Duration.ofMillis(10);
    private static final Duration WATCH_PERIOD = Duration.ofMillis(50);
    private static final Duration PROPAGATION_PERIOD = Duration.ofMillis(200);
    private static final Duration EXPIRE_PERIOD = Duration.ofSeconds(1);

    /** Time for other nodes to learn that this node's backend servers have been withdrawn. */
    private static final Duration WITHDRAWAL_WAIT = Duration.ofSeconds(1);

    private final Endpoints endpoints;
    private final Scheduler scheduler;
    private final LocalServers servers;
    private final CrashGuard guard;
    private final IdempotencyMemory memory;
    private final KeyHomeSelector homes;
    private final HopClient client;
    private final Routes routes;
    private final EntryCalls entry;
    private final OwnerCalls owner;
    private final Runnable propagateSuspects;
    private final CallListener callers;
    private final CallListener peers;
    private final StopAdmission stop;
    private final Clock clock;
    private final List<Scheduler.Cancellable> timers = new ArrayList<>();

    CallsPlugin(CallsDependencies dependencies) {
        NodeSettings settings = dependencies.settings();
        Versions versions = dependencies.versions();
        endpoints = dependencies.endpoints();
        scheduler = dependencies.scheduler();
        servers = dependencies.servers();
        guard = dependencies.guard();
        clock = dependencies.clock();
        propagateSuspects = dependencies.propagateSuspects();
        memory = IdempotencyMemory.builder().clock(clock).build();
        homes = new KeyHomeSelector(settings.nodeId(), clock);
        stop = new StopAdmission(clock);
        Limits limits = settings.limits();
        client = new HopClient(limits.connectMillis());
        routes = new Routes(versions, endpoints, clock);
        CallMetrics metrics = new CallMetrics(dependencies.registry());
        ResponseRelay relay = new ResponseRelay(metrics);
        LocalDispatcher localDispatcher =
                new LocalDispatcher(
                        servers, guard, client, new CrashProbe(guard, scheduler), clock);
        KeyHome keys = new KeyHome(settings.nodeId(), memory, homes, endpoints, client);
        RetryingDispatcher dispatcher =
                new RetryingDispatcher(
                        settings,
                        localDispatcher,
                        new PeerDispatcher(client, clock),
                        dependencies.retryPolicy(),
                        stop,
                        metrics,
                        clock);
        KeyedCalls keyed = new KeyedCalls(keys, dispatcher, relay, clock);
        entry =
                new EntryCalls(
                        new EntryCallsDependencies(
                                routes, dispatcher, keyed, relay, metrics, limits, clock));
        owner = new OwnerCalls(routes, localDispatcher, keys, relay, metrics, limits, clock);
        callers = new CallListener("callers", dependencies.ports().callers(), limits, clock, entry);
        peers = new CallListener("peers", dependencies.ports().peers(), limits, clock, owner);
    }

    @Override
    public String name() {
        return "calls";
    }

    @Override
    public int order() {
        return 50;
    }

    @Override
    public void start() throws KernelException {
        homes.update(endpoints.view());
        endpoints.subscribe(homes::update);
        routes.follow(servers::versionChanged);
        timers.add(scheduler.every(QUEUE_EXPIRY_PERIOD, servers::expireQueues));
        timers.add(scheduler.every(WATCH_PERIOD, callers::watchClients));
        timers.add(scheduler.every(WATCH_PERIOD, peers::watchClients));
        timers.add(scheduler.every(PROPAGATION_PERIOD, propagateSuspects));
        timers.add(scheduler.every(EXPIRE_PERIOD, this::expire));
        peers.start();
        callers.start();
    }

    private void expire() {
        guard.expire();
        memory.expire();
    }

    @Override
    public void drain(Duration limit) {
        long startNanos = clock.nanos();
        stop.stopAt(startNanos + limit.toNanos());
        entry.drain();
        owner.drain();
        callers.drain();
        peers.drain();
        Duration withdrawalWait = limit.compareTo(WITHDRAWAL_WAIT) < 0 ? limit : WITHDRAWAL_WAIT;
        callers.awaitTime(withdrawalWait);
        callers.awaitIdle(limit.minus(clock.since(startNanos)));
        peers.awaitIdle(limit.minus(clock.since(startNanos)));
        List<String> cut = new ArrayList<>(callers.inFlightIds());
        cut.addAll(peers.inFlightIds());
        if (!cut.isEmpty()) {
            log.warn("cut calls {}", CutCalls.text(cut));
        }
    }

    @Override
    public void stop() {
        timers.forEach(Scheduler.Cancellable::cancel);
        callers.stop();
        peers.stop();
        client.close();
    }

    @Override
    public Object state() {
        return new State(
                entry.calls(),
                callers.connections(),
                callers.refused(),
                peers.inFlight(),
                peers.connections(),
                client.connections(),
                routes.current().map(table -> table.version().number()).orElse(0L),
                routes.current().map(table -> table.version().tables()).orElse(Tables.EMPTY),
                endpoints.view().all());
    }

    private record State(
            int callsInFlight,
            int callerConnections,
            long callerRefusals,
            int peerCallsInFlight,
            int peerConnections,
            int outboundConnections,
            long version,
            Tables tables,
            Collection<EndpointRecord> endpoints) {}
}
