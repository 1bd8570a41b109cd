package dev.zinniaring.bench;

import dev.zinniaring.admission.RetryPolicy;
import dev.zinniaring.admission.UnbudgetedRetry;
import dev.zinniaring.node.Node;
import dev.zinniaring.standins.LoadResult;
import dev.zinniaring.standins.LoadStream;
import dev.zinniaring.standins.ServiceTime;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * Makes the last pool of a chain of services fail completely and counts the attempts at the last
 * hop per call at the first hop. The baseline retries at every hop without a budget.
 */
final class RetryAmplificationExperiment implements Experiment {
    private static final int DEPTH = 8;
    private static final int SLOTS = 18;
    private static final int CONNECTIONS = 120;
    private static final long SERVICE_MICROS = 1_000;
    private static final double CALLS_PER_SECOND = 50;
    private static final Duration CALM = Duration.ofSeconds(3);
    private static final Duration FAILING = Duration.ofSeconds(6);

    @Override
    public String name() {
        return "retry-amplification";
    }

    @Override
    public String summary() {
        return "attempts at the last of 8 hops per call while the last pool fails";
    }

    @Override
    public Report run(long seed) throws ExperimentException {
        return Report.of(measure(null, seed), measure(new UnbudgetedRetry(), seed))
                .note("routes allow one retry; the last pool's servers crash before the load");
    }

    private static Figures measure(@Nullable RetryPolicy policy, long seed)
            throws ExperimentException {
        List<String> services = IntStream.range(0, DEPTH).mapToObj(i -> "hop-" + i).toList();
        try (CallMesh mesh = CallMesh.seeded(seed)) {
            if (policy != null) {
                mesh.retryPolicy(policy);
            }
            for (String service : services) {
                mesh.addNode("node-" + service, "a");
            }
            addServers(mesh, services);
            mesh.awaitReady(mesh.publish(SampleTables.of(services, 0)));
            load(mesh, CALM, seed);
            mesh.servers().get(DEPTH - 1).crash();
            double before = attempts(mesh, services);
            LoadResult.Stream calls = load(mesh, FAILING, seed + 1);
            double attempts = attempts(mesh, services) - before;
            return Figures.of("attempts_per_call", attempts / calls.sent())
                    .and("calls", calls.sent())
                    .and("answered_ok", calls.ok())
                    .and("depth", DEPTH);
        }
    }

    /** Adds a server to each node; each server calls the next service through its own node. */
    private static void addServers(CallMesh mesh, List<String> services) {
        for (int i = 0; i < DEPTH; i++) {
            Node node = mesh.nodes().get(i);
            InetSocketAddress address = CallMesh.reachable(node.callAddress());
            String next = i + 1 < DEPTH ? "/" + services.get(i + 1) + "/0" : "";
            mesh.addServer(
                    node,
                    services.get(i) + "-server",
                    services.get(i),
                    server -> {
                        server.slots(SLOTS)
                                .connections(CONNECTIONS)
                                .serviceTime(ServiceTime.fixed(SERVICE_MICROS));
                        return next.isEmpty() ? server : server.next(address, next);
                    });
        }
    }

    private static LoadResult.Stream load(CallMesh mesh, Duration length, long seed)
            throws ExperimentException {
        InetSocketAddress entry = CallMesh.reachable(mesh.nodes().get(0).callAddress());
        return Loads.run(
                List.of(entry),
                List.of(LoadStream.posting("calls", "/hop-0/0", CALLS_PER_SECOND)),
                length,
                seed)
                .stream("calls");
    }

    /**
     * Returns the number of attempts at the last pool, whose calls enter at the node of the
     * previous hop.
     */
    private static double attempts(CallMesh mesh, List<String> services) {
        Node entry = mesh.nodes().get(DEPTH - 2);
        String pool = services.get(DEPTH - 1);
        double calls = sum(entry, "zinniaring_calls", "");
        double retries = 0;
        for (Node node : mesh.nodes()) {
            retries += sum(node, "zinniaring_retries", pool);
        }
        return calls + retries;
    }

    /**
     * Returns the sum of a counter over all data points with the given label value, or over all
     * data points if {@code label} is empty.
     */
    private static double sum(Node node, String counter, String label) {
        double sum = 0;
        for (MetricSnapshot metric : node.registry().scrape()) {
            if (metric instanceof CounterSnapshot values
                    && metric.getMetadata().getName().equals(counter)) {
                sum +=
                        values.getDataPoints().stream()
                                .filter(point -> label.isEmpty() || hasLabelValue(point, label))
                                .mapToDouble(CounterSnapshot.CounterDataPointSnapshot::getValue)
                                .sum();
            }
        }
        return sum;
    }

    private static boolean hasLabelValue(
            CounterSnapshot.CounterDataPointSnapshot point, String label) {
        return point.getLabels().stream().anyMatch(each -> each.getValue().equals(label));
    }
}
