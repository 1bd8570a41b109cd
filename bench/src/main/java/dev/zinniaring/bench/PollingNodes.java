package dev.zinniaring.bench;

import dev.zinniaring.distribution.PollingDistribution;
import dev.zinniaring.kernel.NamedThreads;
import dev.zinniaring.model.Version;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/**
 * Baseline nodes that poll the platform once a second instead of exchanging versions; one for each
 * node of a mesh.
 */
final class PollingNodes implements AutoCloseable {
    private static final int THREADS = 16;
    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final ControlMesh mesh;
    private final ExecutorService executor =
            Executors.newFixedThreadPool(THREADS, NamedThreads.daemon("bench-polling"));
    private final List<PollingDistribution> nodes = new ArrayList<>();

    PollingNodes(ControlMesh mesh) {
        this.mesh = mesh;
        for (int i = 0; i < mesh.specs().size(); i++) {
            nodes.add(
                    PollingDistribution.builder()
                            .source(mesh.source())
                            .scheduler(mesh.scheduler())
                            .platformExecutor(executor)
                            .build());
        }
    }

    /** Starts the nodes evenly spread over one period, so that they do not poll in step. */
    void start(Consumer<Version> listener) throws ExperimentException {
        for (PollingDistribution node : nodes) {
            node.subscribe(listener);
            node.start();
            Await.pause(PERIOD.dividedBy(nodes.size()));
        }
    }

    /** Starts all nodes at once. */
    void startAtOnce() {
        nodes.forEach(PollingDistribution::start);
    }

    /** Waits until every node has activated the given version or a later one. */
    void awaitVersion(long number, Duration limit) throws ExperimentException {
        Await.until(
                () ->
                        nodes.stream()
                                .allMatch(
                                        node ->
                                                node.active()
                                                        .map(version -> version.number() >= number)
                                                        .orElse(false)),
                limit,
                () -> "version " + number + " on every polling node");
    }

    int size() {
        return nodes.size();
    }

    @Override
    public void close() {
        nodes.forEach(PollingDistribution::stop);
        executor.shutdownNow();
    }
}
