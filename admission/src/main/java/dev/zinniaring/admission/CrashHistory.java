package dev.zinniaring.admission;

import java.util.HashSet;
import java.util.Set;

/**
 * The ids of the crashes at which a request was in flight, and of those that a completed run of the
 * request has cleared. Immutable. Both sets only grow, so that the records of several nodes can be
 * merged in any order.
 */
record CrashHistory(Set<String> crashes, Set<String> cleared, long lastCrashNanos) {
    /** Bound on the crashes kept for one request, which is held after fewer crashes anyway. */
    private static final int MAX_CRASHES = 8;

    /** Spreads the bits of a hash, since hashes of requests are added up; 2^64 / golden ratio. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    CrashHistory {
        crashes = Set.copyOf(crashes);
        cleared = Set.copyOf(cleared);
    }

    static CrashHistory of(String crash, long nowNanos) {
        return new CrashHistory(Set.of(crash), Set.of(), nowNanos);
    }

    /** Returns the crashes that no completed run has cleared. */
    Set<String> unclearedCrashes() {
        if (cleared.isEmpty()) {
            return crashes;
        }
        Set<String> uncleared = new HashSet<>(crashes);
        uncleared.removeAll(cleared);
        return uncleared;
    }

    /**
     * Returns a hash of this history of a request. Beyond the bound on crashes, nodes keep
     * different ones, so that only their number counts.
     */
    long hash(long fingerprint) {
        int ids = crashes.size() < MAX_CRASHES ? crashes.hashCode() : 0;
        long mixed = fingerprint * 31 + ids;
        mixed = mixed * 31 + (crashes.size() < MAX_CRASHES ? cleared.hashCode() : 0);
        return mixed * HASH_MULTIPLIER;
    }

    /** Returns a history in which all crashes so far are cleared. */
    CrashHistory clear() {
        return new CrashHistory(crashes, crashes, lastCrashNanos);
    }

    /** Returns the union of both histories; crashes beyond the bound are dropped. */
    CrashHistory merge(CrashHistory other) {
        Set<String> clearedByEither = new HashSet<>(cleared);
        clearedByEither.addAll(other.cleared);
        Set<String> merged = new HashSet<>(crashes);
        for (String crash : other.crashes) {
            if (merged.size() < MAX_CRASHES) {
                merged.add(crash);
            }
        }
        clearedByEither.retainAll(merged);
        long lastNanos =
                other.lastCrashNanos - lastCrashNanos > 0 ? other.lastCrashNanos : lastCrashNanos;
        return new CrashHistory(merged, clearedByEither, lastNanos);
    }
}
