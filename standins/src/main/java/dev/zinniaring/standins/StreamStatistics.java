package dev.zinniaring.standins;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects the results of the calls of one stream. Thread-safe. */
final class StreamStatistics {
    private static final long MAX_MICROS = 120_000_000;
    private static final int OK_BELOW = 400;

    private final Histogram latencyMicros = new Histogram(MAX_MICROS, 3);
    private final Histogram arrivalLatencyMicros = new Histogram(MAX_MICROS, 3);
    private final Map<Integer, Long> statuses = new TreeMap<>();
    private final Map<String, Long> outcomes = new TreeMap<>();
    private long sent;
    private long skipped;
    private long ok;
    private long broken;

    synchronized void sent() {
        sent++;
    }

    synchronized void skipped() {
        skipped++;
    }

    synchronized void broken() {
        broken++;
    }

    synchronized void answered(int status, String outcome, long micros, long arrivalMicros) {
        statuses.merge(status, 1L, Long::sum);
        outcomes.merge(outcome, 1L, Long::sum);
        if (status < OK_BELOW) {
            ok++;
            latencyMicros.recordValue(Math.min(micros, MAX_MICROS));
            arrivalLatencyMicros.recordValue(Math.min(arrivalMicros, MAX_MICROS));
        }
    }

    synchronized LoadResult.Stream result() {
        return new LoadResult.Stream(
                sent,
                skipped,
                ok,
                broken,
                Map.copyOf(statuses),
                Map.copyOf(outcomes),
                latencyMicros.copy(),
                arrivalLatencyMicros.copy());
    }
}
