package dev.zinniaring.bench;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.ExecutorScheduler;
import dev.zinniaring.standins.BackendServer;
import dev.zinniaring.standins.LoadResult;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the executions that backend servers start per stream while the load is steady. A count
 * over the whole load would include the ramp-up, when no call can have completed, and the end, when
 * queues drain.
 */
final class RunWindow {
    private final List<BackendServer> servers;
    private volatile Reading first = new Reading(0, Map.of());
    private volatile Reading last = new Reading(0, Map.of());

    private record Reading(long nanos, Map<String, Long> runs) {}

    private RunWindow(List<BackendServer> servers) {
        this.servers = servers;
    }

    /**
     * Returns a window that reads the counters of the servers once after {@code from} and again
     * after {@code until}, both measured from now.
     */
    static RunWindow schedule(
            List<BackendServer> servers,
            ExecutorScheduler scheduler,
            Duration from,
            Duration until) {
        RunWindow window = new RunWindow(servers);
        scheduler.after(from, () -> window.first = window.read());
        scheduler.after(until, () -> window.last = window.read());
        return window;
    }

    private Reading read() {
        Map<String, Long> runs = new TreeMap<>();
        for (BackendServer server : servers) {
            server.runs()
                    .byCallId()
                    .forEach(
                            (callId, count) -> runs.merge(stream(callId), (long) count, Long::sum));
        }
        return new Reading(Clock.system().nanos(), runs);
    }

    /** Extracts the stream from a call id of the load generator, {@code prefix-stream-number}. */
    private static String stream(String callId) {
        String[] parts = callId.split("-");
        return parts.length < 2 ? callId : parts[parts.length - 2];
    }

    /**
     * Returns the goodput of a stream in calls per second: executions started, less the share that
     * failed afterwards.
     */
    double goodputPerSecond(String stream, LoadResult result) {
        double seconds = (last.nanos - first.nanos) * 1e-9;
        long begun = last.runs.getOrDefault(stream, 0L) - first.runs.getOrDefault(stream, 0L);
        return begun / seconds * answeredShare(result.stream(stream));
    }

    /** Returns the share of executed calls whose callers received the answer of the server. */
    private static double answeredShare(LoadResult.Stream stream) {
        long ran = stream.outcomes().getOrDefault("ran", 0L);
        long unknown = stream.outcomes().getOrDefault("unknown", 0L) + stream.broken();
        return ran + unknown == 0 ? 0 : (double) ran / (ran + unknown);
    }
}
