package dev.zinniaring.standins;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** What a fake backend server ran, across its restarts. Safe for use by several threads. */
public final class BackendServerRuns {
    private static final long NOT_DRAINING = Long.MIN_VALUE;

    private final Map<String, Integer> runsByCallId = new ConcurrentHashMap<>();
    private final AtomicLong started = new AtomicLong();
    private final AtomicLong finished = new AtomicLong();
    private final AtomicLong crashes = new AtomicLong();
    private final AtomicLong drainStartNanos = new AtomicLong(NOT_DRAINING);
    private final AtomicLong lastAfterDrainNanos = new AtomicLong();

    void started(String callId, String path, long nowNanos) {
        started.incrementAndGet();
        if (!callId.isEmpty()) {
            runsByCallId.merge(callId, 1, Integer::sum);
        }
        long drainNanos = drainStartNanos.get();
        if (drainNanos != NOT_DRAINING) {
            lastAfterDrainNanos.accumulateAndGet(nowNanos - drainNanos, Math::max);
        }
    }

    void finished() {
        finished.incrementAndGet();
    }

    void crashed() {
        crashes.incrementAndGet();
    }

    void drainStarted(long nowNanos) {
        lastAfterDrainNanos.set(0);
        drainStartNanos.set(nowNanos);
    }

    /** Returns how often the server began to run a call. */
    public int of(String callId) {
        return runsByCallId.getOrDefault(callId, 0);
    }

    /** Returns the number of runs by call id. */
    public Map<String, Integer> byCallId() {
        return new TreeMap<>(runsByCallId);
    }

    /** Returns the ids of calls that ran more than once. */
    public List<String> runTwice() {
        return runsByCallId.entrySet().stream()
                .filter(entry -> entry.getValue() > 1)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Returns the number of calls that began. */
    public long total() {
        return started.get();
    }

    /** Returns the number of calls that were answered. */
    public long completed() {
        return finished.get();
    }

    /** Returns the number of crashes. */
    public long crashes() {
        return crashes.get();
    }

    /** Returns when the last call arrived after the latest drain began, in milliseconds; or 0. */
    public long lastArrivalAfterDrainMillis() {
        return lastAfterDrainNanos.get() / 1_000_000;
    }
}
