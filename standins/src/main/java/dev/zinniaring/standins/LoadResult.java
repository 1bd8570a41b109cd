package dev.zinniaring.standins;

import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The results of a load run.
 *
 * @param streams results by stream name
 * @param outcomes outcome by call id: {@code ran}, {@code not-run}, {@code unknown}, {@code broken}
 *     (no response or an incomplete one) or {@code none} (response without an outcome header)
 * @param elapsedMillis time from the start of the run to the end of the last call
 */
public record LoadResult(
        Map<String, Stream> streams, Map<String, String> outcomes, long elapsedMillis) {
    /**
     * The results of one stream.
     *
     * @param sent calls sent
     * @param skipped arrivals not sent because too many calls were in flight
     * @param ok calls answered with a status below 400
     * @param broken calls without a complete response
     * @param statuses number of responses by HTTP status
     * @param outcomes number of responses by outcome
     * @param latencyMicros time from sending to the complete response, of the calls counted in ok
     * @param arrivalLatencyMicros the same, measured from the scheduled arrival
     */
    public record Stream(
            long sent,
            long skipped,
            long ok,
            long broken,
            Map<Integer, Long> statuses,
            Map<String, Long> outcomes,
            Histogram latencyMicros,
            Histogram arrivalLatencyMicros) {
        /** Returns a percentile (0 to 100) of the latency, in milliseconds. */
        public double percentileMillis(double percentile) {
            return latencyMicros.getValueAtPercentile(percentile) / 1e3;
        }
    }

    /**
     * Returns the results of a stream.
     *
     * @throws IllegalArgumentException if there is no stream of this name
     */
    public Stream stream(String name) {
        Stream stream = streams.get(name);
        if (stream == null) {
            throw new IllegalArgumentException(
                    "unknown stream " + name + "; the streams are " + streams.keySet());
        }
        return stream;
    }

    /** Returns the number of calls sent over all streams. */
    public long sent() {
        return streams.values().stream().mapToLong(Stream::sent).sum();
    }
}
