package dev.zinniaring.calls;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** What an entry node has seen of one backend server. */
final class ServerStats {
    /** Weight of the newest sample; some ten samples shape an average. */
    private static final double NEWEST = 0.1;

    /** Weight of the newest outcome in the share of failures. */
    private static final double NEWEST_FAILURE = 0.08;

    /** A report of load counts for half after this time. */
    private static final double REPORT_HALF_LIFE_NANOS = 500e6;

    /** The share of failures halves in this time, so that a server is tried again. */
    private static final double FAILURE_HALF_LIFE_NANOS = 3e9;

    private int outstanding;
    private double othersAtReport;
    private long reportNanos;
    private double slowness = 1;
    private double failureShare;
    private long failureNanos;
    private long avoidUntilNanos;
    private long refusals;

    /** A server that is full for one route may have slots for a more urgent one. */
    private final Map<String, Long> fullUntilNanos = new HashMap<>();

    ServerStats(long nowNanos) {
        reportNanos = nowNanos;
        failureNanos = nowNanos;
        avoidUntilNanos = nowNanos;
    }

    void started() {
        outstanding++;
    }

    void ended(@Nullable ServerLoad load, long nowNanos) {
        outstanding--;
        if (load != null) {
            othersAtReport = Math.max(0, load.running() + load.waiting() - outstanding);
            reportNanos = nowNanos;
        }
    }

    /** Takes the time of a call that ran, against the mean of its route over all servers. */
    void ran(long elapsedNanos, long routeMeanNanos, boolean failed, long nowNanos) {
        if (!failed && routeMeanNanos > 0) {
            double ratio = Math.min(20, (double) elapsedNanos / routeMeanNanos);
            slowness += NEWEST * (ratio - slowness);
        }
        double share = failureShare(nowNanos);
        failureShare = share + NEWEST_FAILURE * ((failed ? 1 : 0) - share);
        failureNanos = nowNanos;
        refusals = 0;
    }

    /** Sends no calls there for a time that doubles with each failure in a row. */
    void avoid(long firstNanos, long mostNanos, long nowNanos) {
        long nanos = Math.min(mostNanos, firstNanos << Math.min(refusals, 10));
        refusals++;
        avoidUntilNanos = Math.max(avoidUntilNanos, nowNanos + nanos);
    }

    /** Sends no calls of a route there for a moment, as it has no room for them. */
    void full(String route, long nanos, long nowNanos) {
        fullUntilNanos.put(route, nowNanos + nanos);
    }

    boolean avoided(String route, long nowNanos) {
        Long fullUntil = fullUntilNanos.get(route);
        return nowNanos < avoidUntilNanos || (fullUntil != null && nowNanos < fullUntil);
    }

    /** Returns the estimated number of calls that run or wait there. */
    double load(long nowNanos) {
        double age = Math.max(0, nowNanos - reportNanos);
        return outstanding + othersAtReport * Math.pow(0.5, age / REPORT_HALF_LIFE_NANOS);
    }

    double slowness() {
        return slowness;
    }

    double failureShare(long nowNanos) {
        double age = Math.max(0, nowNanos - failureNanos);
        return failureShare * Math.pow(0.5, age / FAILURE_HALF_LIFE_NANOS);
    }

    int outstanding() {
        return outstanding;
    }
}
