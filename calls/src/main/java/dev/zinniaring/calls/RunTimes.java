package dev.zinniaring.calls;

import java.util.HashMap;
import java.util.Map;

/** Mean run times of calls by route, as exponentially weighted averages. */
final class RunTimes {
    /** Weight of the newest sample; some ten samples shape the average. */
    private static final double NEWEST = 0.1;

    private static final int SERVER_ERROR = 500;
    private static final int MAX_ROUTES = 4_096;

    private final Map<String, Double> meanNanos = new HashMap<>();

    void add(String route, long nanos) {
        Double mean = meanNanos.get(route);
        if (mean == null && meanNanos.size() >= MAX_ROUTES) {
            meanNanos.clear();
        }
        meanNanos.put(route, mean == null ? nanos : mean + NEWEST * (nanos - mean));
    }

    /** Takes a run that ended with an answer; a failure may come sooner than a result would. */
    void ran(String route, long nanos, int status) {
        if (status < SERVER_ERROR) {
            add(route, nanos);
        }
    }

    /** Takes a run that was given up: it would have taken longer. */
    void abandoned(String route, long nanos) {
        if (nanos > meanNanos(route, Long.MAX_VALUE)) {
            add(route, nanos);
        }
    }

    /** Returns the mean run time of a route, or the fallback if none is known. */
    long meanNanos(String route, long fallbackNanos) {
        Double mean = meanNanos.get(route);
        return mean == null ? fallbackNanos : mean.longValue();
    }
}
