package dev.zinniaring.calls;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts what happens to calls, by name. Safe for use by several threads. */
public final class CallCounters {
    private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

    /** Adds one to a counter. */
    public void increment(String name) {
        counts.computeIfAbsent(name, unused -> new LongAdder()).increment();
    }

    /** Returns every counter by name. */
    public Map<String, Long> values() {
        Map<String, Long> values = new TreeMap<>();
        counts.forEach((name, count) -> values.put(name, count.sum()));
        return values;
    }
}
