package dev.zinniaring.routing;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/** What one node has seen of one backend server. */
final class ServerStats {
    /** A report loses half of its weight in this time, because others choose by it as well. */
    private static final double REPORT_HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int LATENCY_SMOOTHING = 16;

    /** Load that other nodes put on the server, as of a report. */
    private record Report(int others, int limit, long atNanos) {}

    private final long firstSeenNanos;
    private final AtomicInteger outstanding = new AtomicInteger();
    private final AtomicReference<@Nullable Report> report = new AtomicReference<>();
    private final AtomicLong latencyNanos = new AtomicLong();
    private final AtomicInteger latencySamples = new AtomicInteger();
    private final AtomicInteger failuresInRow = new AtomicInteger();

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
        // The report counts this node's calls as well, the one that has just ended included.
        int others = Math.max(0, load.outstanding() - outstanding.get() - 1);
        report.set(new Report(others, load.limit(), nowNanos));
    }

    /** Returns the calls at the server: those of this node, and others as far as still known. */
    double load(long nowNanos) {
        Report present = report.get();
        if (present == null) {
            return outstanding.get();
        }
        long ageNanos = Math.max(0, nowNanos - present.atNanos());
        // Cheaper than a power of two and close enough: 1, 1/2, 1/3 after 0, 1, 2 half-lives.
        double weight = 1 / (1 + ageNanos / REPORT_HALF_LIFE_NANOS);
        return outstanding.get() + present.others() * weight;
    }

    /** Returns the calls that the server runs at once: its own limit if known, or its slots. */
    int capacity(int slots) {
        Report present = report.get();
        return present == null ? Math.max(1, slots) : Math.min(present.limit(), Math.max(1, slots));
    }

    boolean seenBefore(long nanos) {
        return firstSeenNanos - nanos < 0;
    }

    /** Returns the share that a server gets while it warms up, from 0 to 1. */
    double warmth(int warmUpMillis, long nowNanos) {
        double age = nowNanos - firstSeenNanos;
        return Math.min(1, age / TimeUnit.MILLISECONDS.toNanos(warmUpMillis));
    }

    void latency(long nanos) {
        latencySamples.incrementAndGet();
        long before = latencyNanos.get();
        while (true) {
            long after = before == 0 ? nanos : before + (nanos - before) / LATENCY_SMOOTHING;
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

    int failed() {
        return failuresInRow.incrementAndGet();
    }

    void succeeded() {
        if (failuresInRow.get() != 0) {
            failuresInRow.set(0);
        }
    }
}
