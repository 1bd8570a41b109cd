package dev.zinniaring.calls;

import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of an event loop: how far it is behind, and how long requests wait for their start. */
public final class LoopMetrics {
    private static final double[] BOUNDS_SECONDS = {
        0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5
    };

    private static final double NANOS_PER_SECOND = 1e9;

    private final Histogram lag;
    private final Histogram startWait;

    /** Creates the metrics and registers them in a registry. */
    public LoopMetrics(PrometheusRegistry registry) {
        lag =
                histogram(
                        registry,
                        "zinniaring_loop_lag_seconds",
                        "delay of a periodic task of the event loop");
        startWait =
                histogram(
                        registry,
                        "zinniaring_start_wait_seconds",
                        "time from the reading of a request to its start");
    }

    private static Histogram histogram(PrometheusRegistry registry, String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(BOUNDS_SECONDS)
                .register(registry);
    }

    /** Records how late a periodic task of the loop ran. */
    public void lagged(long lagNanos) {
        lag.observe(lagNanos / NANOS_PER_SECOND);
    }

    /** Records how long a request waited for its start. */
    public void started(long waitedNanos) {
        startWait.observe(waitedNanos / NANOS_PER_SECOND);
    }
}
