package dev.zinniaring.bench;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.Version;
import dev.zinniaring.publish.PublishException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * Kills all nodes of one zone and starts them again at once, with the platform up and down, and
 * measures when each may serve again. The baseline is a fleet of nodes that read the platform
 * themselves; with the platform down none of its nodes starts.
 */
final class RestartStormExperiment implements Experiment {
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final Duration READ_WINDOW = Duration.ofMillis(100);
    private static final double WINDOWS_PER_SECOND = 10;
    private static final int CHANGES = 3;

    @Override
    public String name() {
        return "restart-storm";
    }

    @Override
    public String summary() {
        return "all nodes of a zone die and return at once, with the platform up and down";
    }

    @Override
    public Report run(long seed) throws ExperimentException {
        List<Figures> figures = new ArrayList<>();
        List<Figures> baselines = new ArrayList<>();
        for (Deployment deployment : Deployment.ALL) {
            figures.add(storms(deployment, seed));
            baselines.add(polling(deployment, seed));
        }
        Report report = Report.of(Figures.largest(figures), Figures.largest(baselines));
        for (int i = 0; i < figures.size(); i++) {
            report.deployment(Deployment.ALL.get(i).name(), figures.get(i), baselines.get(i));
        }
        return report.note("platform_reads_peak_per_s is ten times the most reads in 100 ms");
    }

    private static Figures storms(Deployment deployment, long seed) throws ExperimentException {
        try (ControlMesh mesh = ControlMesh.of(deployment, seed)) {
            mesh.startAll();
            publish(mesh, deployment);
            mesh.awaitAll(CHANGES, LIMIT);
            mesh.awaitWhole(LIMIT);
            String zone = deployment.zones().get(0);
            Storm up = storm(mesh, zone);
            mesh.awaitWhole(LIMIT);
            mesh.platform().platform().faults().outage(true);
            Storm down = storm(mesh, zone);
            return Figures.of("ready_p99_ms", Math.max(up.readyMillis(), down.readyMillis()))
                    .and("ready_p99_platform_up_ms", up.readyMillis())
                    .and("ready_p99_platform_down_ms", down.readyMillis())
                    .and(
                            "platform_reads_peak_per_s",
                            Math.max(up.readsPeakPerSecond(), down.readsPeakPerSecond()))
                    .and("versions_gone_back", up.goneBack() + down.goneBack());
        }
    }

    private static void publish(ControlMesh mesh, Deployment deployment)
            throws ExperimentException {
        List<String> services =
                deployment.services().stream().map(Deployment.Service::name).toList();
        try {
            for (int i = 0; i < CHANGES; i++) {
                mesh.publisher().publish(SampleTables.of(services, i));
            }
        } catch (PublishException e) {
            throw new ExperimentException("the tables were not accepted", e);
        }
    }

    private record Storm(double readyMillis, double readsPeakPerSecond, long goneBack) {}

    private static Storm storm(ControlMesh mesh, String zone) throws ExperimentException {
        Map<String, Long> before = new ConcurrentHashMap<>();
        List<ControlMesh.Place> places =
                mesh.places().stream().filter(place -> place.zone().equals(zone)).toList();
        for (ControlNode node : mesh.nodes()) {
            before.put(node.place().nodeId(), node.number());
        }
        places.forEach(mesh::kill);
        Clock clock = Clock.system();
        long startNanos = clock.nanos();
        Histogram readyMicros = new Histogram(3);
        AtomicLong goneBack = new AtomicLong();
        List<ControlNode> started = new ArrayList<>();
        for (ControlMesh.Place place : places) {
            ControlNode node = mesh.start(place);
            started.add(node);
            long floor = before.getOrDefault(place.nodeId(), 0L);
            node.versions()
                    .subscribe(
                            version -> served(version, floor, startNanos, readyMicros, goneBack));
        }
        double peak = awaitReady(mesh, started);
        double readyMillis;
        synchronized (readyMicros) {
            readyMillis = readyMicros.getValueAtPercentile(99) / 1_000.0;
        }
        return new Storm(readyMillis, peak, goneBack.get());
    }

    private static void served(
            Version version,
            long floor,
            long startNanos,
            Histogram readyMicros,
            AtomicLong goneBack) {
        if (version.number() < floor) {
            goneBack.incrementAndGet();
        }
        synchronized (readyMicros) {
            readyMicros.recordValue(Clock.system().since(startNanos).toNanos() / 1_000);
        }
    }

    /** Waits for all nodes and returns the highest rate of reads of the platform meanwhile. */
    private static double awaitReady(ControlMesh mesh, List<ControlNode> nodes)
            throws ExperimentException {
        Clock clock = Clock.system();
        long startNanos = clock.nanos();
        long readsBefore = mesh.nodeRequests().reads();
        long peak = 0;
        while (!nodes.stream().allMatch(node -> node.number() >= CHANGES)) {
            Await.pause(READ_WINDOW);
            long reads = mesh.nodeRequests().reads();
            peak = Math.max(peak, reads - readsBefore);
            readsBefore = reads;
            if (clock.since(startNanos).compareTo(LIMIT) > 0) {
                throw new ExperimentException("nodes not ready within " + LIMIT);
            }
        }
        return peak * WINDOWS_PER_SECOND;
    }

    private static Figures polling(Deployment deployment, long seed) throws ExperimentException {
        try (ControlMesh mesh = ControlMesh.of(deployment, seed)) {
            publish(mesh, deployment);
            long reads = mesh.nodeRequests().reads();
            Clock clock = Clock.system();
            long startNanos = clock.nanos();
            try (PollingNodes nodes = new PollingNodes(mesh)) {
                nodes.startAtOnce();
                nodes.awaitAll(CHANGES, LIMIT);
            }
            double millis = clock.since(startNanos).toNanos() / 1e6;
            return Figures.of("ready_p99_ms", millis)
                    .and("reads_to_start", mesh.nodeRequests().reads() - reads);
        }
    }
}
