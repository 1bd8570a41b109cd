package dev.zinniaring.calls;

import java.util.HashMap;
import java.util.Map;

/** Mean run times of calls by route, as exponentially weighted moving averages. */
final class RunTimes {
    /** Weight of the newest sample; the average reflects about the last ten samples. */
    private static final double NEWEST_WEIGHT = 0.1;

    private static final int SERVER_ERROR = 500;
    private static final int MAX_ROUTES = 4_096;

    private final Map<String, Double> meanNanos = new HashMap<>();

    void record(String route, long nanos) {
        Double mean = meanNanos.get(route);
        if (mean == null && meanNanos.size() >= MAX_ROUTES) {
            meanNanos.clear();
        }
        meanNanos.put(route, mean == null ? nanos : mean + NEWEST_WEIGHT * (nanos - mean));
    }

    /**
     * Records a run that ended with an answer. Server errors are left out, since a failure may come
     * much sooner than a successful answer.
     */
    void completed(String route, long nanos, int status) {
        if (status < SERVER_ERROR) {
            record(route, nanos);
        }
    }

    /**
     * Records a run that was cancelled after the given time. It would have taken longer, so it
     * counts only if the time exceeds the mean.
     */
    void abandoned(String route, long nanos) {
        if (nanos > meanNanos(route, Long.MAX_VALUE)) {
            record(route, nanos);
        }
    }

    /** Returns the mean run time of a route, or the fallback if none is known. */
    long meanNanos(String route, long fallbackNanos) {
        Double mean = meanNanos.get(route);
        return mean == null ? fallbackNanos : mean.longValue();
    }
}
