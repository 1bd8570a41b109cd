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
 * Kills all nodes of a zone and restarts them at once, with the platform up and then down, and
 * measures how long each takes to activate a version. In the baseline all nodes read the platform
 * themselves; with the platform down none of them would become ready.
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
        return "all nodes of a zone are killed and restarted at once, platform up and down";
    }

    @Override
    public Report run(long seed) throws ExperimentException {
        List<Figures> figures = new ArrayList<>();
        List<Figures> baselines = new ArrayList<>();
        for (Deployment deployment : Deployment.ALL) {
            figures.add(measureStorms(deployment, seed));
            baselines.add(polling(deployment, seed));
        }
        Report report = Report.of(Figures.largest(figures), Figures.largest(baselines));
        for (int i = 0; i < figures.size(); i++) {
            report.deployment(Deployment.ALL.get(i).name(), figures.get(i), baselines.get(i));
        }
        return report.note(
                "platform_reads_peak_per_s is ten times the highest number of reads in 100 ms");
    }

    private static Figures measureStorms(Deployment deployment, long seed)
            throws ExperimentException {
        try (ControlMesh mesh = ControlMesh.of(deployment, seed)) {
            mesh.startAll();
            publish(mesh, deployment);
            mesh.awaitVersion(CHANGES, LIMIT);
            mesh.awaitFullView(LIMIT);
            String zone = deployment.zones().get(0);
            Storm up = measureStorm(mesh, zone);
            mesh.awaitFullView(LIMIT);
            mesh.platform().platform().faults().outage(true);
            Storm down = measureStorm(mesh, zone);
            return Figures.of("ready_p99_ms", Math.max(up.readyMillis(), down.readyMillis()))
                    .and("ready_p99_platform_up_ms", up.readyMillis())
                    .and("ready_p99_platform_down_ms", down.readyMillis())
                    .and(
                            "platform_reads_peak_per_s",
                            Math.max(up.readsPeakPerSecond(), down.readsPeakPerSecond()))
                    .and("versions_gone_back", up.regressions() + down.regressions());
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
            throw new ExperimentException("tables could not be published", e);
        }
    }

    private record Storm(double readyMillis, double readsPeakPerSecond, long regressions) {}

    private static Storm measureStorm(ControlMesh mesh, String zone) throws ExperimentException {
        Map<String, Long> before = new ConcurrentHashMap<>();
        List<ControlMesh.NodeSpec> specs =
                mesh.specs().stream().filter(spec -> spec.zone().equals(zone)).toList();
        for (ControlNode node : mesh.nodes()) {
            before.put(node.spec().nodeId(), node.versionNumber());
        }
        specs.forEach(mesh::kill);
        Clock clock = Clock.system();
        long startNanos = clock.nanos();
        Histogram readyMicros = new Histogram(3);
        AtomicLong regressions = new AtomicLong();
        List<ControlNode> started = new ArrayList<>();
        for (ControlMesh.NodeSpec spec : specs) {
            ControlNode node = mesh.start(spec);
            started.add(node);
            long minimumVersion = before.getOrDefault(spec.nodeId(), 0L);
            node.versions()
                    .subscribe(
                            version ->
                                    recordReady(
                                            version,
                                            minimumVersion,
                                            startNanos,
                                            readyMicros,
                                            regressions));
        }
        double peak = awaitReady(mesh, started);
        double readyMillis;
        synchronized (readyMicros) {
            readyMillis = readyMicros.getValueAtPercentile(99) / 1_000.0;
        }
        return new Storm(readyMillis, peak, regressions.get());
    }

    private static void recordReady(
            Version version,
            long minimumVersion,
            long startNanos,
            Histogram readyMicros,
            AtomicLong regressions) {
        if (version.number() < minimumVersion) {
            regressions.incrementAndGet();
        }
        synchronized (readyMicros) {
            readyMicros.recordValue(Clock.system().since(startNanos).toNanos() / 1_000);
        }
    }

    /** Waits until all nodes are ready and returns the peak rate of platform reads meanwhile. */
    private static double awaitReady(ControlMesh mesh, List<ControlNode> nodes)
            throws ExperimentException {
        Clock clock = Clock.system();
        long startNanos = clock.nanos();
        long readsBefore = mesh.nodeRequests().reads();
        long peak = 0;
        while (!nodes.stream().allMatch(node -> node.versionNumber() >= CHANGES)) {
            Await.pause(READ_WINDOW);
            long reads = mesh.nodeRequests().reads();
            peak = Math.max(peak, reads - readsBefore);
            readsBefore = reads;
            if (clock.since(startNanos).compareTo(LIMIT) > 0) {
                throw new ExperimentException("restarted nodes not ready within " + LIMIT);
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
                nodes.awaitVersion(CHANGES, LIMIT);
            }
            double millis = clock.since(startNanos).toNanos() / 1e6;
            return Figures.of("ready_p99_ms", millis)
                    .and("reads_to_start", mesh.nodeRequests().reads() - reads);
        }
    }
}
