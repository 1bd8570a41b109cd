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
 * Partitions a zone from the other zones and from the platform while changes are published and
 * calls continue inside the zone, then heals the partition. The baseline has the same partition
 * with nodes that poll the platform themselves.
 */
final class PartitionExperiment implements Experiment {
    private static final Deployment DEPLOYMENT = Deployment.SE_MID;
    private static final String PARTITIONED_ZONE = DEPLOYMENT.zones().get(0);
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
        return "a zone is partitioned while changes are published and calls continue, then healed";
    }

    @Override
    public Report run(long seed) throws ExperimentException {
        return Report.of(measure(seed), polling(seed))
                .note(
                        "complete nodes of se-mid; the nodes of the baseline only poll the platform"
                                + " once a second and carry no calls");
    }

    private static List<String> services() {
        return DEPLOYMENT.services().stream().map(Deployment.Service::name).toList();
    }

    private static Figures measure(long seed) throws ExperimentException {
        try (CallMesh mesh = CallMesh.seeded(seed)) {
            ZonePlatform platform = mesh.zonePlatform(PARTITIONED_ZONE);
            List<Node> partitionedNodes = startNodes(mesh);
            mesh.awaitReady(mesh.publish(SampleTables.of(services(), 0)));
            AtomicLong regressions = countRegressions(partitionedNodes);
            partition(mesh, platform);
            BackgroundLoad load = load(partitionedNodes, seed);
            long last = publishChanges(mesh);
            LoadResult result = load.result();
            long reachedNodes =
                    partitionedNodes.stream().filter(node -> number(node) >= last).count();
            heal(mesh, platform);
            Duration caughtUp =
                    Await.until(
                            () -> partitionedNodes.stream().allMatch(node -> number(node) >= last),
                            LIMIT,
                            () -> "version " + last + " on every node of the partitioned zone");
            return Figures.of("caught_up_ms", caughtUp.toNanos() / 1e6)
                    .and("versions_gone_back", regressions.get())
                    .and("calls_lost_inside_zone", lostCalls(result))
                    .and("calls_inside_zone", result.sent())
                    .and("nodes_reached_while_cut", reachedNodes);
        }
    }

    private static long number(Node node) {
        return node.versions().active().map(version -> version.number()).orElse(0L);
    }

    /** Starts all nodes and servers and returns the nodes of the zone to be partitioned. */
    private static List<Node> startNodes(CallMesh mesh) throws ExperimentException {
        List<Node> partitionedNodes = new ArrayList<>();
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
                if (zone.equals(PARTITIONED_ZONE)) {
                    partitionedNodes.add(node);
                }
            }
        }
        return partitionedNodes;
    }

    private static AtomicLong countRegressions(List<Node> nodes) {
        AtomicLong regressions = new AtomicLong();
        nodes.forEach(node -> node.versions().subscribe(regressionCounter(regressions)));
        return regressions;
    }

    /** Returns a listener for one node that counts versions older than one it had activated. */
    private static Consumer<Version> regressionCounter(AtomicLong regressions) {
        AtomicLong highest = new AtomicLong();
        return version -> {
            long before = highest.getAndAccumulate(version.number(), Math::max);
            if (version.number() < before) {
                regressions.incrementAndGet();
            }
        };
    }

    private static void partition(CallMesh mesh, ZonePlatform platform) {
        platform.setUnreachable(true);
        otherZones().forEach(zone -> mesh.conditions().cutBoth(PARTITIONED_ZONE, zone));
    }

    private static void heal(CallMesh mesh, ZonePlatform platform) {
        otherZones().forEach(zone -> mesh.conditions().healBoth(PARTITIONED_ZONE, zone));
        platform.setUnreachable(false);
    }

    private static List<String> otherZones() {
        return DEPLOYMENT.zones().stream().filter(zone -> !zone.equals(PARTITIONED_ZONE)).toList();
    }

    private static BackgroundLoad load(List<Node> entries, long seed) {
        List<LoadStream> streams =
                services().stream()
                        .map(name -> "/" + name + "/1")
                        .map(path -> LoadStream.posting(path, path, CALLS_PER_SECOND))
                        .toList();
        return BackgroundLoad.start(entries, streams, LOAD_WINDOW, "inside", seed);
    }

    private static long publishChanges(CallMesh mesh) throws ExperimentException {
        long last = 0;
        for (int i = 1; i <= CHANGES; i++) {
            last = mesh.publish(SampleTables.of(services(), i));
            Await.pause(CHANGE_PAUSE);
        }
        return last;
    }

    private static long lostCalls(LoadResult result) {
        return result.streams().values().stream()
                .mapToLong(stream -> stream.sent() - stream.ok())
                .sum();
    }

    private static Figures polling(long seed) throws ExperimentException {
        try (CallMesh mesh = CallMesh.seeded(seed);
                ExecutorScheduler scheduler = new ExecutorScheduler("bench-polling", 4)) {
            ZonePlatform platform = mesh.zonePlatform(PARTITIONED_ZONE);
            mesh.publish(SampleTables.of(services(), 0));
            List<PollingDistribution> nodes = pollingNodes(platform, scheduler, seed);
            nodes.forEach(PollingDistribution::start);
            awaitPolling(nodes, 1);
            AtomicLong regressions = new AtomicLong();
            nodes.forEach(node -> node.subscribe(regressionCounter(regressions)));
            platform.setUnreachable(true);
            long last = publishChanges(mesh);
            platform.setUnreachable(false);
            Duration caughtUp = awaitPolling(nodes, last);
            nodes.forEach(PollingDistribution::stop);
            return Figures.of("caught_up_ms", caughtUp.toNanos() / 1e6)
                    .and("versions_gone_back", regressions.get());
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
                                                node.active()
                                                        .map(v -> v.number() >= number)
                                                        .orElse(false)),
                LIMIT,
                () -> "version " + number + " on every polling node");
    }
}
