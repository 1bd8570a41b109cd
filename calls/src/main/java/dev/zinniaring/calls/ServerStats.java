package dev.zinniaring.calls;

import dev.zinniaring.kernel.RateLimit;
import dev.zinniaring.model.EndpointRecord;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Statistics that an entry node keeps about one backend server. */
final class ServerStats {
    /** Weight of the newest sample; an average reflects about the last ten samples. */
    private static final double NEWEST_WEIGHT = 0.1;

    /** Weight of the newest outcome in the failure rate. */
    private static final double NEWEST_FAILURE_WEIGHT = 0.08;

    /** Half-life of a load report. */
    private static final double REPORT_HALF_LIFE_NANOS = 500e6;

    /** Half-life of the failure rate; it decays so that a failed server is tried again. */
    private static final double FAILURE_HALF_LIFE_NANOS = 3e9;

    /**
     * A limit that the server has not confirmed for this long no longer affects the choice, so that
     * a server with a low limit is asked again.
     */
    private static final long LIMIT_RETENTION_NANOS = 5_000_000_000L;

    /**
     * Longest time for which a server that said that it is leaving is excluded after its node was
     * restarted; a server under its id that is still there is a new one.
     */
    private static final long LEAVING_RETENTION_NANOS = 60_000_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private int outstanding;
    private double limitPerSecond = RateLimit.NONE;
    private long limitWaitUntilNanos;
    private @Nullable EndpointRecord leavingRecord;
    private long leavingNanos;
    private double otherCallsAtReport;
    private long reportNanos;
    private double relativeRunTime = 1;
    private double failureRate;
    private long failureNanos;
    private long backOffUntilNanos;
    private long consecutiveRefusals;

    /**
     * End of the back-off by route. Kept per route, since a server that is full for one route may
     * have slots for a more urgent one.
     */
    private final Map<String, Long> routeBackOffUntilNanos = new HashMap<>();

    ServerStats(long nowNanos) {
        reportNanos = nowNanos;
        failureNanos = nowNanos;
        backOffUntilNanos = nowNanos;
        limitWaitUntilNanos = nowNanos;
    }

    void started() {
        outstanding++;
    }

    /** Records the end of a call, with the load that the server reported, if any. */
    void ended(@Nullable ServerLoad load, long nowNanos) {
        outstanding--;
        if (load != null) {
            otherCallsAtReport = Math.max(0, load.running() + load.waiting() - outstanding);
            reportNanos = nowNanos;
            limitPerSecond = load.limitPerSecond();
            limitWaitUntilNanos = nowNanos + load.limitWaitMillis() * 1_000_000L;
        }
    }

    /**
     * Records that the server said that it is leaving.
     *
     * @param record the server's record at that time
     */
    void recordLeaving(EndpointRecord record, long nowNanos) {
        leavingRecord = record;
        leavingNanos = nowNanos;
    }

    /**
     * Returns whether the server said that it is leaving. Its node may not know after a restart; if
     * the node has run on and announced the server again, it is a new one under the same id.
     *
     * @param record the server's present record
     */
    private boolean isLeaving(EndpointRecord record, long nowNanos) {
        EndpointRecord known = leavingRecord;
        if (known == null || nowNanos - leavingNanos > LEAVING_RETENTION_NANOS) {
            return false;
        }
        return record.incarnation() != known.incarnation() || record.sequence() <= known.sequence();
    }

    /** Returns the request limit that the server was last known to name. */
    double limitPerSecond() {
        return limitPerSecond;
    }

    /** Returns the last known request limit and its age, such as {@code 26.4/s,120ms}. */
    String limitText(long nowNanos) {
        return limitPerSecond == RateLimit.NONE
                ? "none"
                : limitPerSecond + "/s," + (nowNanos - reportNanos) / 1_000_000L + "ms";
    }

    /**
     * Returns the number of calls that the server can run at the same time: its slots, or fewer if
     * its request limit allows fewer calls of the given run time.
     */
    double effectiveSlots(int slots, double runNanos, long nowNanos) {
        return limitKnown(nowNanos)
                ? Math.min(slots, limitPerSecond * runNanos / NANOS_PER_SECOND)
                : slots;
    }

    /** Returns the time until the server's request limit allows another call. */
    long limitWaitNanos(long nowNanos) {
        return limitKnown(nowNanos) ? Math.max(0, limitWaitUntilNanos - nowNanos) : 0;
    }

    private boolean limitKnown(long nowNanos) {
        return limitHeardWithin(nowNanos, LIMIT_RETENTION_NANOS);
    }

    /** Returns whether the server named a limit when it was last heard of, within a time. */
    boolean limitHeardWithin(long nowNanos, long nanos) {
        return limitPerSecond != RateLimit.NONE && nowNanos - reportNanos < nanos;
    }

    /**
     * Records whether a call failed and, if it did not, its run time relative to the mean of its
     * route over all servers.
     */
    void recordRun(long elapsedNanos, long routeMeanNanos, boolean failed, long nowNanos) {
        if (!failed && routeMeanNanos > 0) {
            double ratio = Math.min(20, (double) elapsedNanos / routeMeanNanos);
            relativeRunTime += NEWEST_WEIGHT * (ratio - relativeRunTime);
        }
        double rate = failureRate(nowNanos);
        failureRate = rate + NEWEST_FAILURE_WEIGHT * ((failed ? 1 : 0) - rate);
        failureNanos = nowNanos;
        consecutiveRefusals = 0;
    }

    /** Backs off from the server; the time doubles with each consecutive refusal. */
    void backOff(long minNanos, long maxNanos, long nowNanos) {
        long nanos = Math.min(maxNanos, minNanos << Math.min(consecutiveRefusals, 10));
        consecutiveRefusals++;
        backOffUntilNanos = Math.max(backOffUntilNanos, nowNanos + nanos);
    }

    /** Backs off from the server for one route, for which it has no capacity. */
    void backOffRoute(String route, long nanos, long nowNanos) {
        routeBackOffUntilNanos.put(route, nowNanos + nanos);
    }

    /** Returns whether the server gets no calls of a route: it is in back-off or leaving. */
    boolean isAvoided(EndpointRecord record, String route, long nowNanos) {
        return backOffNanos(route, nowNanos) > 0 || isLeaving(record, nowNanos);
    }

    /** Returns the remaining back-off for a route. */
    long backOffNanos(String route, long nowNanos) {
        Long routeBackOffUntil = routeBackOffUntilNanos.get(route);
        long routeNanos = routeBackOffUntil == null ? 0 : routeBackOffUntil - nowNanos;
        return Math.max(0, Math.max(backOffUntilNanos - nowNanos, routeNanos));
    }

    /** Returns the estimated number of calls that run or wait at the server. */
    double load(long nowNanos) {
        if (otherCallsAtReport == 0) {
            return outstanding;
        }
        double age = Math.max(0, nowNanos - reportNanos);
        return outstanding + otherCallsAtReport * Math.pow(0.5, age / REPORT_HALF_LIFE_NANOS);
    }

    /** Returns the average ratio of the run times here to those over all servers. */
    double relativeRunTime() {
        return relativeRunTime;
    }

    /** Returns the failure rate, decayed to the given time. */
    double failureRate(long nowNanos) {
        if (failureRate == 0) {
            return 0;
        }
        double age = Math.max(0, nowNanos - failureNanos);
        return failureRate * Math.pow(0.5, age / FAILURE_HALF_LIFE_NANOS);
    }

    /** Returns the number of calls of this node in flight at the server. */
    int outstanding() {
        return outstanding;
    }
}
