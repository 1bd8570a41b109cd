package dev.zinniaring.bench;

import dev.zinniaring.distribution.PollingDistribution;
import dev.zinniaring.kernel.ExecutorScheduler;
import dev.zinniaring.model.Version;
import dev.zinniaring.node.Node;
import dev.zinniaring.publish.PlatformVersionSource;
import dev.zinniaring.standins.LoadResult;
import dev.zinniaring.standins.LoadStream;
import dev.zinniaring.standins.ServiceTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Cuts a zone from the other zones and from the platform while changes are accepted and calls go on
 * inside the zone, then heals it. The baseline is the same cut with nodes that follow the platform
 * by themselves.
 */
final class PartitionExperiment implements Experiment {
    private static final Deployment DEPLOYMENT = Deployment.SE_MID;
    private static final String CUT_ZONE = DEPLOYMENT.zones().get(0);
    private static final int CHANGES = 5;
    private static final double CALLS_PER_SECOND = 20;
    private static final long SERVICE_MICROS = 5_000;
    private static final Duration CHANGE_PAUSE = Duration.ofSeconds(1);
    private static final Duration LOAD_WINDOW = Duration.ofSeconds(9);
    private static final Duration LIMIT = Duration.ofSeconds(20);

    @Override
    public String name() {
        return "partition";
    }

    @Override
    public String summary() {
        return "a zone is cut off while changes are accepted and calls go on, then healed";
    }

    @Override
    public Report run(long seed) throws ExperimentException {
        return Report.of(measure(seed), polling(seed))
                .note(
                        "whole nodes of se-mid; the baseline's nodes only poll the platform each"
                                + " second and carry no calls");
    }

    private static List<String> services() {
        return DEPLOYMENT.services().stream().map(Deployment.Service::name).toList();
    }

    private static Figures measure(long seed) throws ExperimentException {
        try (CallMesh mesh = CallMesh.seeded(seed)) {
            ZonePlatform platform = mesh.zonePlatform(CUT_ZONE);
            List<Node> cutNodes = startNodes(mesh);
            mesh.awaitReady(mesh.publish(SampleTables.of(services(), 0)));
            AtomicLong goneBack = watch(cutNodes);
            cut(mesh, platform);
            BackgroundLoad load = load(cutNodes, seed);
            long last = change(mesh);
            LoadResult result = load.result();
            long reached = cutNodes.stream().filter(node -> number(node) >= last).count();
            heal(mesh, platform);
            Duration caughtUp =
                    Await.until(
                            () -> cutNodes.stream().allMatch(node -> number(node) >= last),
                            LIMIT,
                            () -> "version " + last + " on every node of the zone");
            return Figures.of("caught_up_ms", caughtUp.toNanos() / 1e6)
                    .and("versions_gone_back", goneBack.get())
                    .and("calls_lost_inside_zone", lost(result))
                    .and("calls_inside_zone", result.sent())
                    .and("nodes_reached_while_cut", reached);
        }
    }

    private static long number(Node node) {
        return node.versions().inForce().map(version -> version.number()).orElse(0L);
    }

    /** Starts the deployment's nodes and servers and returns the nodes of the zone to cut. */
    private static List<Node> startNodes(CallMesh mesh) throws ExperimentException {
        List<Node> cutNodes = new ArrayList<>();
        for (Deployment.Service service : DEPLOYMENT.services()) {
            for (int i = 0; i < service.servers(); i++) {
                String id = service.name() + "-" + i;
                String zone = DEPLOYMENT.zoneOf(i);
                Node node = mesh.addNode("node-" + id, zone);
                mesh.addServer(
                        node,
                        id,
                        service.name(),
                        server ->
                                server.slots(DEPLOYMENT.slots())
                                        .connections(DEPLOYMENT.connections())
                                        .serviceTime(ServiceTime.exponential(SERVICE_MICROS)));
                if (zone.equals(CUT_ZONE)) {
                    cutNodes.add(node);
                }
            }
        }
        return cutNodes;
    }

    private static AtomicLong watch(List<Node> nodes) {
        AtomicLong goneBack = new AtomicLong();
        nodes.forEach(node -> node.versions().subscribe(counter(goneBack)));
        return goneBack;
    }

    /** Returns a listener of one node that counts versions below one that was in force before. */
    private static Consumer<Version> counter(AtomicLong goneBack) {
        AtomicLong highest = new AtomicLong();
        return version -> {
            long before = highest.getAndAccumulate(version.number(), Math::max);
            if (version.number() < before) {
                goneBack.incrementAndGet();
            }
        };
    }

    private static void cut(CallMesh mesh, ZonePlatform platform) {
        platform.cut(true);
        otherZones().forEach(zone -> mesh.conditions().cutBoth(CUT_ZONE, zone));
    }

    private static void heal(CallMesh mesh, ZonePlatform platform) {
        otherZones().forEach(zone -> mesh.conditions().healBoth(CUT_ZONE, zone));
        platform.cut(false);
    }

    private static List<String> otherZones() {
        return DEPLOYMENT.zones().stream().filter(zone -> !zone.equals(CUT_ZONE)).toList();
    }

    private static BackgroundLoad load(List<Node> entries, long seed) {
        List<LoadStream> streams =
                services().stream()
                        .map(name -> "/" + name + "/1")
                        .map(path -> LoadStream.posting(path, path, CALLS_PER_SECOND))
                        .toList();
        return BackgroundLoad.start(entries, streams, LOAD_WINDOW, "inside", seed);
    }

    private static long change(CallMesh mesh) throws ExperimentException {
        long last = 0;
        for (int i = 1; i <= CHANGES; i++) {
            last = mesh.publish(SampleTables.of(services(), i));
            Await.pause(CHANGE_PAUSE);
        }
        return last;
    }

    private static long lost(LoadResult result) {
        return result.streams().values().stream()
                .mapToLong(stream -> stream.sent() - stream.ok())
                .sum();
    }

    private static Figures polling(long seed) throws ExperimentException {
        try (CallMesh mesh = CallMesh.seeded(seed);
                ExecutorScheduler scheduler = new ExecutorScheduler("bench-polling", 4)) {
            ZonePlatform platform = mesh.zonePlatform(CUT_ZONE);
            mesh.publish(SampleTables.of(services(), 0));
            List<PollingDistribution> nodes = pollingNodes(platform, scheduler, seed);
            nodes.forEach(PollingDistribution::start);
            awaitPolling(nodes, 1);
            AtomicLong goneBack = new AtomicLong();
            nodes.forEach(node -> node.subscribe(counter(goneBack)));
            platform.cut(true);
            long last = change(mesh);
            platform.cut(false);
            Duration caughtUp = awaitPolling(nodes, last);
            nodes.forEach(PollingDistribution::stop);
            return Figures.of("caught_up_ms", caughtUp.toNanos() / 1e6)
                    .and("versions_gone_back", goneBack.get());
        }
    }

    private static List<PollingDistribution> pollingNodes(
            ZonePlatform platform, ExecutorScheduler scheduler, long seed) {
        List<PollingDistribution> nodes = new ArrayList<>();
        for (int i = 0; i < DEPLOYMENT.services().size(); i++) {
            nodes.add(
                    PollingDistribution.builder()
                            .source(
                                    new PlatformVersionSource(
                                            CallMesh.MESH,
                                            platform.tables(),
                                            platform.objects(),
                                            new Random(seed + i)))
                            .scheduler(scheduler)
                            .platformExecutor(scheduler::execute)
                            .build());
        }
        return nodes;
    }

    private static Duration awaitPolling(List<PollingDistribution> nodes, long number)
            throws ExperimentException {
        return Await.until(
                () ->
                        nodes.stream()
                                .allMatch(
                                        node ->
                                                node.inForce()
                                                        .map(v -> v.number() >= number)
                                                        .orElse(false)),
                LIMIT,
                () -> "version " + number + " on every polling node");
    }
}
