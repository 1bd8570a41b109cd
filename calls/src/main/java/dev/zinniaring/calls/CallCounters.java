package dev.zinniaring.calls;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Metrics of calls: event counters and latency. Safe for use by several threads. */
public final class CallCounters {
    /**
     * Upper bounds of the latency histogram, in seconds: from well below the cost of a hop to the
     * longest deadline of users' calls.
     */
    private static final double[] LATENCY_SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5, 10
    };

    private static final double NANOS_PER_SECOND = 1e9;

    private final Counter events;
    private final Histogram latency;

    /** Counters by event, since a look-up by label values costs more than the increment. */
    private final Map<String, CounterDataPoint> eventCounters = new ConcurrentHashMap<>();

    /** Creates the metrics and registers them in a registry. */
    public CallCounters(PrometheusRegistry registry) {
        events =
                Counter.builder()
                        .name("zinniaring_call_events_total")
                        .help("what happened to calls, by event")
                        .labelNames("event")
                        .register(registry);
        latency =
                Histogram.builder()
                        .name("zinniaring_call_seconds")
                        .help("time from a call's arrival to its answer, by rank and outcome")
                        .labelNames("rank", "outcome")
                        .classicOnly()
                        .classicUpperBounds(LATENCY_SECONDS)
                        .register(registry);
    }

    /** Creates metrics in a registry of their own, which is not exported. */
    public CallCounters() {
        this(new PrometheusRegistry());
    }

    /** Adds one to the counter of an event. */
    public void increment(String event) {
        eventCounters.computeIfAbsent(event, events::labelValues).inc();
    }

    /** Records the latency of an answered call. */
    void answered(int rankOrder, String outcome, long elapsedNanos) {
        latency.labelValues(Integer.toString(rankOrder), outcome)
                .observe(elapsedNanos / NANOS_PER_SECOND);
    }
}
