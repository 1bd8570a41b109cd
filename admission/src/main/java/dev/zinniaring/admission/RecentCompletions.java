package dev.zinniaring.admission;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Remembers which requests have lately completed a run. The table has a fixed size, so that a
 * request may displace another one, which is then forgotten. Safe for use by several threads.
 */
final class RecentCompletions {
    /** Number of entries, a power of two. */
    private static final int CAPACITY = 4_096;

    private final long retentionNanos;
    private final AtomicLongArray fingerprints = new AtomicLongArray(CAPACITY);
    private final AtomicLongArray completedNanos = new AtomicLongArray(CAPACITY);

    /** Creates a table that forgets a completion after {@code retentionNanos}. */
    RecentCompletions(long retentionNanos) {
        this.retentionNanos = retentionNanos;
    }

    void add(long fingerprint, long nowNanos) {
        int entry = entry(fingerprint);
        completedNanos.set(entry, nowNanos);
        fingerprints.set(entry, fingerprint);
    }

    /** Removes a request and returns whether it had completed a run within the retention time. */
    boolean remove(long fingerprint, long nowNanos) {
        int entry = entry(fingerprint);
        boolean recent = nowNanos - completedNanos.get(entry) < retentionNanos;
        return fingerprints.compareAndSet(entry, fingerprint, 0) && recent;
    }

    private static int entry(long fingerprint) {
        return (int) (fingerprint & (CAPACITY - 1));
    }
}
