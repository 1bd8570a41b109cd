package dev.zinniaring.node;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.Unit;

/** Metrics of the call path. */
final class CallMetrics {
    private static final double[] LATENCY_BOUNDS_SECONDS = {
        0.0005, 0.001, 0.0017, 0.003, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10
    };

    private final Counter calls;
    private final Counter refusals;
    private final Counter retries;
    private final Counter ownerCalls;
    private final Counter broken;
    private final Histogram latency;

    CallMetrics(PrometheusRegistry registry) {
        calls =
                Counter.builder()
                        .name("zinniaring_calls")
                        .help("Calls that this node took from callers, by rank and outcome.")
                        .labelNames("rank", "outcome")
                        .register(registry);
        refusals =
                Counter.builder()
                        .name("zinniaring_refusals")
                        .help("Calls that this node answered itself, by rank and reason.")
                        .labelNames("rank", "reason")
                        .register(registry);
        retries =
                Counter.builder()
                        .name("zinniaring_retries")
                        .help("Attempts after the first, by pool.")
                        .labelNames("pool")
                        .register(registry);
        ownerCalls =
                Counter.builder()
                        .name("zinniaring_owner_calls")
                        .help("Calls that this node took from other nodes, by outcome.")
                        .labelNames("outcome")
                        .register(registry);
        broken =
                Counter.builder()
                        .name("zinniaring_broken_answers")
                        .help("Answers that broke off after their start had been passed on.")
                        .register(registry);
        latency =
                Histogram.builder()
                        .name("zinniaring_call_seconds")
                        .help("Time from the request of a caller to the end of its answer.")
                        .unit(Unit.SECONDS)
                        .classicOnly()
                        .classicUpperBounds(LATENCY_BOUNDS_SECONDS)
                        .labelNames("rank")
                        .register(registry);
    }

    void answered(String rank, Outcome outcome, long nanos) {
        calls.labelValues(rank, outcome.headerValue()).inc();
        latency.labelValues(rank).observe(Unit.nanosToSeconds(nanos));
    }

    void refused(String rank, CallException refusal, long nanos) {
        calls.labelValues(rank, refusal.outcome().headerValue()).inc();
        refusals.labelValues(rank, refusal.reason()).inc();
        latency.labelValues(rank).observe(Unit.nanosToSeconds(nanos));
    }

    void retried(String pool) {
        retries.labelValues(pool).inc();
    }

    void ownerAnswered(Outcome outcome) {
        ownerCalls.labelValues(outcome.headerValue()).inc();
    }

    void truncatedResponse() {
        broken.inc();
    }
}
