package dev.zinniaring.distribution;

import com.google.common.hash.Hashing;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Holds the newest known endpoint record of each backend server. Thread-safe; reading the view is
 * one atomic read.
 */
final class EndpointStore {
    /** Number of digest buckets; a bit set of them fits into a long. */
    static final int BUCKETS = 64;

    /**
     * Time for which a removed record is kept, to reject older records of the same backend server.
     */
    static final Duration GONE_RETENTION = Duration.ofSeconds(60);

    private final Map<String, Entry> entries = new TreeMap<>();
    private final Map<String, Set<String>> serversOfService = new HashMap<>();
    private final long[] buckets = new long[BUCKETS];
    private final AtomicReference<EndpointSnapshot> view =
            new AtomicReference<>(EndpointSnapshot.EMPTY);

    /** A record and the time at which this node received it. */
    private record Entry(EndpointRecord record, int bucket, long receivedNanos) {}

    EndpointView view() {
        return Objects.requireNonNull(view.get(), "view");
    }

    /** Stores the records that are newer than the held ones and returns them. */
    synchronized List<EndpointRecord> merge(Collection<EndpointRecord> records, long nowNanos) {
        List<EndpointRecord> taken = new ArrayList<>();
        Set<String> services = new HashSet<>();
        for (EndpointRecord record : records) {
            Entry held = entries.get(record.serverId());
            if (held == null || record.newerThan(held.record)) {
                replace(held, new Entry(record, bucket(record.serverId()), nowNanos), services);
                taken.add(record);
            }
        }
        updateView(services);
        return taken;
    }

    /**
     * Removes the records that match {@code dropped} and those in state {@code GONE} that are older
     * than {@link #GONE_RETENTION}. Returns the number of removed records.
     */
    synchronized int expire(Predicate<EndpointRecord> dropped, long nowNanos) {
        List<Entry> expired = new ArrayList<>();
        for (Entry entry : entries.values()) {
            boolean old = nowNanos - entry.receivedNanos >= GONE_RETENTION.toNanos();
            if (dropped.test(entry.record) || old && gone(entry.record)) {
                expired.add(entry);
            }
        }
        Set<String> services = new HashSet<>();
        for (Entry entry : expired) {
            entries.remove(entry.record.serverId());
            removeFromIndex(entry.record, services);
        }
        updateView(services);
        return expired.size();
    }

    /**
     * Returns the hash of each bucket. Records in state {@code GONE} are excluded, since they
     * expire.
     */
    synchronized long[] digest() {
        return buckets.clone();
    }

    /** Returns all records in the given buckets, including those in state {@code GONE}. */
    synchronized List<EndpointRecord> inBuckets(long bitSet) {
        return entries.values().stream()
                .filter(entry -> (bitSet & 1L << entry.bucket) != 0)
                .map(Entry::record)
                .toList();
    }

    /**
     * Returns the records in the given buckets that are absent from {@code others} or newer than
     * there.
     */
    synchronized List<EndpointRecord> missingFrom(long bitSet, Collection<EndpointRecord> others) {
        Map<String, EndpointRecord> known = new HashMap<>();
        others.forEach(record -> known.put(record.serverId(), record));
        return inBuckets(bitSet).stream()
                .filter(record -> isNewTo(record, known.get(record.serverId())))
                .toList();
    }

    synchronized Optional<EndpointRecord> get(String serverId) {
        return Optional.ofNullable(entries.get(serverId)).map(Entry::record);
    }

    synchronized int size() {
        return entries.size();
    }

    private static boolean isNewTo(EndpointRecord record, @Nullable EndpointRecord other) {
        return other == null ? !gone(record) : record.newerThan(other);
    }

    private void replace(@Nullable Entry held, Entry next, Set<String> services) {
        if (held != null) {
            removeFromIndex(held.record, services);
        }
        entries.put(next.record.serverId(), next);
        if (!gone(next.record)) {
            buckets[bucket(next.record.serverId())] ^= hash(next.record);
            serversOf(next.record.service()).add(next.record.serverId());
            services.add(next.record.service());
        }
    }

    private void removeFromIndex(EndpointRecord record, Set<String> services) {
        if (gone(record)) {
            return;
        }
        buckets[bucket(record.serverId())] ^= hash(record);
        serversOf(record.service()).remove(record.serverId());
        services.add(record.service());
    }

    private Set<String> serversOf(String service) {
        return serversOfService.computeIfAbsent(service, name -> new HashSet<>());
    }

    private void updateView(Set<String> services) {
        if (services.isEmpty()) {
            return;
        }
        List<EndpointRecord> records = new ArrayList<>();
        for (String service : services) {
            for (String serverId : serversOf(service)) {
                records.add(Objects.requireNonNull(entries.get(serverId), serverId).record);
            }
            if (serversOf(service).isEmpty()) {
                serversOfService.remove(service);
            }
        }
        view.set(Objects.requireNonNull(view.get(), "view").with(services, records));
    }

    private static boolean gone(EndpointRecord record) {
        return record.state() == EndpointState.GONE;
    }

    private static int bucket(String serverId) {
        return (int) (hash(serverId) & BUCKETS - 1);
    }

    private static long hash(String text) {
        return Hashing.farmHashFingerprint64().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Hashes the identity of a record instead of its content: a single writer uses each
     * (incarnation, sequence) pair only once.
     */
    private static long hash(EndpointRecord record) {
        return hash(record.serverId() + "/" + record.incarnation() + "/" + record.sequence());
    }
}
