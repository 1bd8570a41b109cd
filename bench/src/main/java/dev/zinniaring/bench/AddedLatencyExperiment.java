package dev.zinniaring.bench;

import dev.zinniaring.node.Node;
import dev.zinniaring.standins.BackendServer;
import dev.zinniaring.standins.LoadGenerator;
import dev.zinniaring.standins.LoadResult;
import dev.zinniaring.standins.LoadStream;
import dev.zinniaring.standins.ServiceTime;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * Measures the latency that a path through two nodes adds to a call, relative to calls sent
 * directly to a backend server at the same time and rate. The baseline path has only the owner's
 * node.
 */
final class AddedLatencyExperiment implements Experiment {
    private static final double CALLS_PER_SECOND = 400;
    private static final long SERVICE_MICROS = 2_000;
    private static final int SLOTS = 18;
    private static final int CONNECTIONS = 1_000;
    private static final Duration WARM_UP = Duration.ofSeconds(12);
    private static final Duration WINDOW = Duration.ofSeconds(15);

    @Override
    public String name() {
        return "added-latency";
    }

    @Override
    public String summary() {
        return "latency that two nodes add to a call, p50 and p99, at a steady load";
    }

    @Override
    public Report run(long seed) throws ExperimentException {
        try (CallMesh mesh = CallMesh.seeded(seed)) {
            Node entry = mesh.addNode("entry", "a");
            Node owner = mesh.addNode("owner", "a");
            Node near = mesh.addNode("near", "a");
            mesh.addServer(owner, "far-1", "far", AddedLatencyExperiment::server);
            mesh.addServer(near, "near-1", "near", AddedLatencyExperiment::server);
            BackendServer direct =
                    mesh.addServer(near, "direct-1", "direct", AddedLatencyExperiment::server);
            mesh.awaitReady(mesh.publish(SampleTables.of(List.of("far", "near", "direct"), 0)));
            measure(entry, near, direct, WARM_UP, seed);
            Results results = measure(entry, near, direct, WINDOW, seed + 1);
            return Report.of(
                            results.relativeToDirect(results.far()),
                            results.relativeToDirect(results.near()))
                    .note("the baseline calls the owner's node directly: one node in the path");
        }
    }

    private static dev.zinniaring.standins.BackendServerBuilder server(
            dev.zinniaring.standins.BackendServerBuilder builder) {
        return builder.slots(SLOTS)
                .connections(CONNECTIONS)
                .serviceTime(ServiceTime.fixed(SERVICE_MICROS));
    }

    private record Results(
            LoadResult.Stream far,
            LoadResult.Stream near,
            LoadResult.Stream direct,
            double seconds) {
        Figures relativeToDirect(LoadResult.Stream path) {
            return Figures.of("added_p50_ms", added(path, 50))
                    .and("added_p99_ms", added(path, 99))
                    .and("p99_ms", path.percentileMillis(99))
                    .and("direct_p99_ms", direct.percentileMillis(99))
                    .and("calls_per_s", path.ok() / seconds)
                    .and("failed", path.sent() - path.ok());
        }

        private double added(LoadResult.Stream path, double percentile) {
            return path.percentileMillis(percentile) - direct.percentileMillis(percentile);
        }
    }

    private static Results measure(
            Node entry, Node near, BackendServer direct, Duration window, long seed)
            throws ExperimentException {
        Load twoNodes = new Load(CallMesh.reachable(entry.callAddress()), "/far/0", window, seed);
        Load oneNode =
                new Load(CallMesh.reachable(near.callAddress()), "/near/0", window, seed + 1);
        Load directLoad = new Load(direct.address(), "/direct/0", window, seed + 2);
        List.of(twoNodes, oneNode, directLoad).forEach(Thread::start);
        return new Results(
                twoNodes.result(),
                oneNode.result(),
                directLoad.result(),
                window.toMillis() / 1_000.0);
    }

    /** Runs a load on its own thread. */
    private static final class Load extends Thread {
        private final LoadGenerator generator;
        private volatile LoadResult.Stream stream =
                new LoadResult.Stream(
                        0,
                        0,
                        0,
                        0,
                        java.util.Map.of(),
                        java.util.Map.of(),
                        new org.HdrHistogram.Histogram(3),
                        new org.HdrHistogram.Histogram(3));

        Load(InetSocketAddress target, String path, Duration window, long seed) {
            super("load " + path);
            generator =
                    LoadGenerator.builder().target(target).stream(
                                    LoadStream.getting("calls", path, CALLS_PER_SECOND))
                            .duration(window)
                            .seed(seed)
                            .callIdPrefix(path + "-" + seed)
                            .build();
        }

        @Override
        public void run() {
            try {
                stream = generator.run().stream("calls");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        LoadResult.Stream result() throws ExperimentException {
            try {
                join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new ExperimentException("interrupted", e);
            }
            return stream;
        }
    }
}
