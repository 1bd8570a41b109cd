package dev.zinniaring.bench;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.Version;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.Publisher;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.HdrHistogram.Histogram;

/** Publishes changes at a fixed rate and measures how long each takes to reach all nodes. */
final class ChangeSeries {
    private static final Duration CATCH_UP_LIMIT = Duration.ofSeconds(10);
    private static final double MILLIS_PER_MICRO = 1e-3;

    private final ControlMesh mesh;
    private final Publisher publisher;
    private final List<String> services;
    private final int nodes;
    private final Map<Long, Long> acceptedNanos = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();

    private record Arrival(long number, long nanos) {}

    /**
     * Creates a series.
     *
     * @param nodes number of nodes that every change must reach
     */
    ChangeSeries(ControlMesh mesh, Deployment deployment, int nodes) {
        this.mesh = mesh;
        this.nodes = nodes;
        publisher = mesh.publisher();
        services = deployment.services().stream().map(Deployment.Service::name).toList();
    }

    /** Records that a node has activated a version. */
    void recordActivation(Version version) {
        arrivals.add(new Arrival(version.number(), Clock.system().nanos()));
    }

    /** Publishes the initial version, which is not measured. */
    void publishFirst() throws ExperimentException {
        publish(0);
    }

    /**
     * Publishes {@code changes} changes, one per {@code period}, waits until all nodes have the
     * last one and returns the figures.
     */
    Figures run(int changes, Duration period) throws ExperimentException {
        Clock clock = Clock.system();
        long startNanos = clock.nanos();
        long reads = mesh.nodeRequests().reads();
        long bytes = crossZoneBytes();
        long last = 1;
        for (int i = 1; i <= changes; i++) {
            last = publish(i);
            Await.pause(period);
        }
        long awaited = last;
        Await.until(
                () -> countAtLeast(awaited) >= nodes, CATCH_UP_LIMIT, () -> "version " + awaited);
        double seconds = clock.since(startNanos).toNanos() * 1e-9;
        Histogram histogram = convergenceMicros(last);
        return Figures.of("all_nodes_p50_ms", histogram.getValueAtPercentile(50) * MILLIS_PER_MICRO)
                .and("all_nodes_p99_ms", histogram.getValueAtPercentile(99) * MILLIS_PER_MICRO)
                .and("cross_zone_bytes_per_change", (crossZoneBytes() - bytes) / (double) changes)
                .and("platform_reads_per_s", (mesh.nodeRequests().reads() - reads) / seconds)
                .and("changes", changes)
                .and("nodes", nodes);
    }

    private long publish(int edition) throws ExperimentException {
        try {
            long number = publisher.publish(SampleTables.of(services, edition)).number();
            acceptedNanos.put(number, Clock.system().nanos());
            return number;
        } catch (PublishException e) {
            throw new ExperimentException("change " + edition + " could not be published", e);
        }
    }

    private long countAtLeast(long number) {
        return arrivals.stream().filter(arrival -> arrival.number() >= number).count();
    }

    /**
     * Returns the distribution, over the changes, of the time in microseconds from the acceptance
     * of a change until the last node has activated it or a later version.
     */
    private Histogram convergenceMicros(long last) {
        Histogram micros = new Histogram(3);
        for (long number = 2; number <= last; number++) {
            long change = number;
            long accepted = acceptedNanos.getOrDefault(number, 0L);
            long lastNanos =
                    arrivals.stream()
                            .filter(arrival -> arrival.number() >= change)
                            .mapToLong(Arrival::nanos)
                            .sorted()
                            .limit(nodes)
                            .max()
                            .orElse(accepted);
            micros.recordValue(Math.max(0, (lastNanos - accepted) / 1_000));
        }
        return micros;
    }

    private long crossZoneBytes() {
        return mesh.sentBytes(true) + mesh.platformBytes();
    }
}
