package dev.zinniaring.routing;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/** This node's statistics and load data of one backend server. Thread-safe. */
final class ServerStats {
    /**
     * Time after which a report has half of its weight. Reports lose weight because other nodes
     * choose servers by the same reports.
     */
    private static final double REPORT_HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int LATENCY_SMOOTHING_DIVISOR = 16;

    /** Outstanding calls of other nodes and the limit of the server at the time of a report. */
    private record Report(int otherNodesCalls, int limit, long atNanos) {}

    private final long firstSeenNanos;
    private final AtomicInteger outstanding = new AtomicInteger();
    private final AtomicReference<@Nullable Report> report = new AtomicReference<>();
    private final AtomicLong latencyNanos = new AtomicLong();
    private final AtomicInteger latencySamples = new AtomicInteger();
    private final AtomicInteger consecutiveFailures = new AtomicInteger();

    ServerStats(long firstSeenNanos) {
        this.firstSeenNanos = firstSeenNanos;
    }

    int outstanding() {
        return outstanding.get();
    }

    void started() {
        outstanding.incrementAndGet();
    }

    void finished() {
        outstanding.updateAndGet(count -> Math.max(0, count - 1));
    }

    void reported(ReportedLoad load, long nowNanos) {
        // The report includes this node's calls and the call that has just ended.
        int otherNodesCalls = Math.max(0, load.outstanding() - outstanding.get() - 1);
        report.set(new Report(otherNodesCalls, load.limit(), nowNanos));
    }

    /**
     * Returns the outstanding calls at the server: those of this node, plus those of other nodes by
     * the last report, weighted by its age.
     */
    double load(long nowNanos) {
        Report present = report.get();
        if (present == null) {
            return outstanding.get();
        }
        long ageNanos = Math.max(0, nowNanos - present.atNanos());
        // Cheaper than exponential decay and close enough: 1, 1/2, 1/3 after 0, 1, 2 half-lives.
        double weight = 1 / (1 + ageNanos / REPORT_HALF_LIFE_NANOS);
        return outstanding.get() + present.otherNodesCalls() * weight;
    }

    /**
     * Returns how many calls the server runs at once: its slots, or the reported limit if that is
     * lower.
     */
    int capacity(int slots) {
        Report present = report.get();
        return present == null ? Math.max(1, slots) : Math.min(present.limit(), Math.max(1, slots));
    }

    boolean seenBefore(long nanos) {
        return firstSeenNanos - nanos < 0;
    }

    /** Returns the share of the warm-up time that has passed since first seen, from 0 to 1. */
    double warmth(int warmUpMillis, long nowNanos) {
        double age = nowNanos - firstSeenNanos;
        return Math.min(1, age / TimeUnit.MILLISECONDS.toNanos(warmUpMillis));
    }

    void addLatency(long nanos) {
        latencySamples.incrementAndGet();
        long before = latencyNanos.get();
        while (true) {
            long after =
                    before == 0 ? nanos : before + (nanos - before) / LATENCY_SMOOTHING_DIVISOR;
            if (latencyNanos.compareAndSet(before, after)) {
                return;
            }
            before = latencyNanos.get();
        }
    }

    long latencyNanos() {
        return latencyNanos.get();
    }

    int latencySamples() {
        return latencySamples.get();
    }

    void resetLatency() {
        latencyNanos.set(0);
        latencySamples.set(0);
    }

    int recordFailure() {
        return consecutiveFailures.incrementAndGet();
    }

    void resetFailures() {
        if (consecutiveFailures.get() != 0) {
            consecutiveFailures.set(0);
        }
    }
}
