package dev.zinniaring.standins;

import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What became of the calls of a load run.
 *
 * @param streams results by the name of the stream
 * @param outcomes outcome by call id, one of {@code ran}, {@code not-run}, {@code unknown}, {@code
 *     broken} (no or half an answer) and {@code none} (no outcome header)
 * @param elapsedMillis time from the first call to the last answer
 */
public record LoadResult(
        Map<String, Stream> streams, Map<String, String> outcomes, long elapsedMillis) {
    /**
     * What became of the calls of one stream.
     *
     * @param sent calls sent
     * @param skipped arrivals not sent because too many calls were in flight
     * @param ok calls answered with a status below 400
     * @param broken calls without a whole answer
     * @param statuses answers by status
     * @param outcomes answers by outcome
     * @param latencyMicros time from sending to the whole answer, of the calls counted in ok
     * @param arrivalLatencyMicros the same from the planned arrival on
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
        /** Returns a percentile of the latency in milliseconds. */
        public double percentileMillis(double percentile) {
            return latencyMicros.getValueAtPercentile(percentile) / 1e3;
        }
    }

    /** Returns the result of a stream. */
    public Stream stream(String name) {
        Stream stream = streams.get(name);
        if (stream == null) {
            throw new IllegalArgumentException("no stream " + name + ", only " + streams.keySet());
        }
        return stream;
    }

    /** Returns the sum of calls sent. */
    public long sent() {
        return streams.values().stream().mapToLong(Stream::sent).sum();
    }
}
