package dev.zinniaring.node;

import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.admission.IdempotencyMemory;
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

/**
 * The call path: the listeners for callers and for other nodes, and the handling of their calls.
 */
final class CallsPlugin implements Plugin {
    private static final Duration QUEUE_PERIOD = Duration.ofMillis(10);
    private static final Duration WATCH_PERIOD = Duration.ofMillis(50);
    private static final Duration SPREAD_PERIOD = Duration.ofMillis(200);
    private static final Duration EXPIRE_PERIOD = Duration.ofSeconds(1);

    /** Time for other nodes to learn that this node's backend servers have been withdrawn. */
    private static final Duration LINGER = Duration.ofSeconds(1);

    private final Endpoints endpoints;
    private final Scheduler scheduler;
    private final LocalServers servers;
    private final CrashGuard guard;
    private final IdempotencyMemory memory;
    private final KeyHomes homes;
    private final HopClient client;
    private final Routes routes;
    private final EntryCalls entry;
    private final OwnerCalls owner;
    private final Runnable spreadSuspects;
    private final CallListener callers;
    private final CallListener peers;
    private final Clock clock;
    private final List<Scheduler.Cancellable> timers = new ArrayList<>();

    CallsPlugin(CallsParts parts) {
        NodeSettings settings = parts.settings();
        Versions versions = parts.versions();
        endpoints = parts.endpoints();
        scheduler = parts.scheduler();
        servers = parts.servers();
        guard = parts.guard();
        clock = parts.clock();
        spreadSuspects = parts.spreadSuspects();
        memory = IdempotencyMemory.builder().clock(clock).build();
        homes = new KeyHomes(settings.nodeId(), clock);
        Limits limits = settings.limits();
        client = new HopClient(limits.connectMillis());
        routes = new Routes(versions, endpoints, clock);
        CallMetrics metrics = new CallMetrics(parts.registry());
        AnswerRelay relay = new AnswerRelay(metrics);
        OwnerPath path =
                new OwnerPath(servers, guard, client, new CrashProbe(guard, scheduler), clock);
        KeyHome keys = new KeyHome(settings.nodeId(), memory, homes, endpoints, client);
        Attempts attempts =
                new Attempts(
                        settings,
                        path,
                        new PeerPath(client, clock),
                        parts.retryPolicy(),
                        metrics,
                        clock);
        KeyedCalls keyed = new KeyedCalls(keys, attempts, relay, clock);
        entry =
                new EntryCalls(
                        new EntryCallsParts(
                                routes, attempts, keyed, relay, metrics, limits, clock));
        owner = new OwnerCalls(routes, path, keys, relay, metrics, limits, clock);
        callers = new CallListener("callers", parts.ports().callers(), limits, clock, entry);
        peers = new CallListener("peers", parts.ports().peers(), limits, clock, owner);
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
        homes.changed(endpoints.view());
        endpoints.subscribe(homes::changed);
        routes.follow(servers::versionChanged);
        timers.add(scheduler.every(QUEUE_PERIOD, servers::expireQueues));
        timers.add(scheduler.every(WATCH_PERIOD, callers::watchClients));
        timers.add(scheduler.every(WATCH_PERIOD, peers::watchClients));
        timers.add(scheduler.every(SPREAD_PERIOD, spreadSuspects));
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
        entry.drain();
        owner.drain();
        callers.drain();
        peers.drain();
        Duration linger = limit.compareTo(LINGER) < 0 ? limit : LINGER;
        callers.awaitTime(linger);
        callers.awaitIdle(limit.minus(clock.since(startNanos)));
        peers.awaitIdle(limit.minus(clock.since(startNanos)));
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
