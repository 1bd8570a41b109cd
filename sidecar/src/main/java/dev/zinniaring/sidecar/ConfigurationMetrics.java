package dev.zinniaring.sidecar;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of the versions of the configuration that reach a node. */
final class ConfigurationMetrics {
    private static final double[] BOUNDS_SECONDS = {0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10};

    private static final double NANOS_PER_SECOND = 1e9;

    private final Histogram seconds;
    private final Counter documents;

    /** Creates the metrics and registers them in a registry. */
    ConfigurationMetrics(PrometheusRegistry registry) {
        seconds =
                Histogram.builder()
                        .name("zinniaring_configuration_seconds")
                        .help("time that a configuration document waited, and was read")
                        .labelNames("step")
                        .classicOnly()
                        .classicUpperBounds(BOUNDS_SECONDS)
                        .register(registry);
        documents =
                Counter.builder()
                        .name("zinniaring_configuration_documents_total")
                        .help("configuration documents that arrived, by outcome")
                        .labelNames("outcome")
                        .register(registry);
    }

    /** Creates metrics in a registry of their own, which is not exported. */
    ConfigurationMetrics() {
        this(new PrometheusRegistry());
    }

    /**
     * Records a document that was read.
     *
     * @param outcome {@code activated}, {@code rejected} or {@code superseded}
     */
    void read(String outcome, long waitedNanos, long readNanos) {
        seconds.labelValues("wait").observe(waitedNanos / NANOS_PER_SECOND);
        seconds.labelValues("read").observe(readNanos / NANOS_PER_SECOND);
        documents.labelValues(outcome).inc();
    }

    /** Records a document that was dropped unread, since a newer version is active. */
    void dropped() {
        documents.labelValues("dropped").inc();
    }
}
