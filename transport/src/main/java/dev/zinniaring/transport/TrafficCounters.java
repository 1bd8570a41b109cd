package dev.zinniaring.transport;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts messages and bytes by type, direction and whether they cross availability zones, and
 * counts faults. TCP bytes include the length prefix of each frame; UDP bytes are the payload of
 * the datagram. Thread-safe.
 */
public final class TrafficCounters {
    private final Map<Flow, Count> flows = new ConcurrentHashMap<>();
    private final Map<TransportFault, LongAdder> faults = new EnumMap<>(TransportFault.class);

    /** Creates counters at zero. */
    public TrafficCounters() {
        for (TransportFault fault : TransportFault.values()) {
            faults.put(fault, new LongAdder());
        }
    }

    /** The direction of traffic. */
    public enum Direction {
        /** Sent by this node. */
        SENT,
        /** Received by this node. */
        RECEIVED
    }

    /** The key of a pair of counters. */
    public record Flow(String messageType, Direction direction, boolean crossZone) {}

    /** The counts of a flow, or of several added up. */
    public record Total(long messages, long bytes) {
        Total plus(Total other) {
            return new Total(messages + other.messages, bytes + other.bytes);
        }
    }

    /** A snapshot of all counters. */
    public record Snapshot(Map<Flow, Total> flows, Map<TransportFault, Long> faults) {
        /** Returns the messages and bytes of all types in one direction, within or across zones. */
        public Total total(Direction direction, boolean crossZone) {
            return flows.entrySet().stream()
                    .filter(e -> e.getKey().direction() == direction)
                    .filter(e -> e.getKey().crossZone() == crossZone)
                    .map(Map.Entry::getValue)
                    .reduce(new Total(0, 0), Total::plus);
        }

        /** Returns the number of times a fault has occurred. */
        public long count(TransportFault fault) {
            return faults.getOrDefault(fault, 0L);
        }
    }

    private static final class Count {
        private final LongAdder messages = new LongAdder();
        private final LongAdder bytes = new LongAdder();
    }

    /** Returns a snapshot, which is not atomic if messages are counted concurrently. */
    public Snapshot snapshot() {
        Map<Flow, Total> totals = new ConcurrentHashMap<>();
        flows.forEach((flow, c) -> totals.put(flow, new Total(c.messages.sum(), c.bytes.sum())));
        Map<TransportFault, Long> counts = new EnumMap<>(TransportFault.class);
        faults.forEach((fault, adder) -> counts.put(fault, adder.sum()));
        return new Snapshot(Map.copyOf(totals), counts);
    }

    /** Registers the counters under names that start with {@code zinniaring_transport_}. */
    public void register(PrometheusRegistry registry) {
        CounterWithCallback.builder()
                .name("zinniaring_transport_messages_total")
                .help("Control messages")
                .labelNames("type", "direction", "scope")
                .callback(out -> flows.forEach((f, c) -> out.call(c.messages.sum(), labels(f))))
                .register(registry);
        CounterWithCallback.builder()
                .name("zinniaring_transport_bytes_total")
                .help("Bytes of control messages")
                .labelNames("type", "direction", "scope")
                .callback(out -> flows.forEach((f, c) -> out.call(c.bytes.sum(), labels(f))))
                .register(registry);
        CounterWithCallback.builder()
                .name("zinniaring_transport_faults_total")
                .help("What the transport refused, dropped or gave up")
                .labelNames("fault")
                .callback(out -> faults.forEach((f, c) -> out.call(c.sum(), lower(f))))
                .register(registry);
    }

    void count(String messageType, Direction direction, boolean crossZone, int bytes) {
        Flow flow = new Flow(messageType, direction, crossZone);
        Count count = flows.computeIfAbsent(flow, f -> new Count());
        count.messages.increment();
        count.bytes.add(bytes);
    }

    void fault(TransportFault fault) {
        fault(fault, 1);
    }

    void fault(TransportFault fault, long times) {
        LongAdder adder = faults.get(fault);
        if (adder != null) {
            adder.add(times);
        }
    }

    /**
     * Returns the totals of each direction and scope, under names such as {@code sentCrossZone}.
     */
    SortedMap<String, Total> totals() {
        Snapshot now = snapshot();
        SortedMap<String, Total> totals = new TreeMap<>();
        for (Direction direction : Direction.values()) {
            totals.put(lower(direction) + "SameZone", now.total(direction, false));
            totals.put(lower(direction) + "CrossZone", now.total(direction, true));
        }
        return totals;
    }

    /** Returns the counts of the faults that have occurred, by name in lower case. */
    SortedMap<String, Long> faultCounts() {
        SortedMap<String, Long> counts = new TreeMap<>();
        faults.forEach(
                (fault, adder) -> {
                    if (adder.sum() > 0) {
                        counts.put(lower(fault), adder.sum());
                    }
                });
        return counts;
    }

    private static String[] labels(Flow flow) {
        return new String[] {
            flow.messageType(), lower(flow.direction()), flow.crossZone() ? "cross" : "same"
        };
    }

    private static String lower(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
