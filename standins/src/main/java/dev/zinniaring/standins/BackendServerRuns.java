package dev.zinniaring.standins;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the calls that a fake backend server ran, across its restarts. Thread-safe. */
public final class BackendServerRuns {
    private static final long NOT_DRAINING = Long.MIN_VALUE;

    private final Map<String, Integer> runsByCallId = new ConcurrentHashMap<>();
    private final AtomicLong started = new AtomicLong();
    private final AtomicLong finished = new AtomicLong();
    private final AtomicLong crashes = new AtomicLong();
    private final AtomicLong drainStartNanos = new AtomicLong(NOT_DRAINING);
    private final AtomicLong lastArrivalAfterDrainNanos = new AtomicLong();

    void started(String callId, String path, long nowNanos) {
        started.incrementAndGet();
        if (!callId.isEmpty()) {
            runsByCallId.merge(callId, 1, Integer::sum);
        }
        long drainNanos = drainStartNanos.get();
        if (drainNanos != NOT_DRAINING) {
            lastArrivalAfterDrainNanos.accumulateAndGet(nowNanos - drainNanos, Math::max);
        }
    }

    void finished() {
        finished.incrementAndGet();
    }

    void crashed() {
        crashes.incrementAndGet();
    }

    void drainStarted(long nowNanos) {
        lastArrivalAfterDrainNanos.set(0);
        drainStartNanos.set(nowNanos);
    }

    /** Returns how many times the server started to run a call. */
    public int of(String callId) {
        return runsByCallId.getOrDefault(callId, 0);
    }

    /** Returns the number of runs by call id. */
    public Map<String, Integer> byCallId() {
        return new TreeMap<>(runsByCallId);
    }

    /** Returns the sorted ids of the calls that ran more than once. */
    public List<String> runTwice() {
        return runsByCallId.entrySet().stream()
                .filter(entry -> entry.getValue() > 1)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Returns the number of runs that were started. */
    public long total() {
        return started.get();
    }

    /** Returns the number of runs that were completed and answered. */
    public long completed() {
        return finished.get();
    }

    /** Returns the number of crashes. */
    public long crashes() {
        return crashes.get();
    }

    /**
     * Returns the time from the start of the latest drain to the last call that arrived after it,
     * in milliseconds; 0 if none arrived.
     */
    public long lastArrivalAfterDrainMillis() {
        return lastArrivalAfterDrainNanos.get() / 1_000_000;
    }
}
