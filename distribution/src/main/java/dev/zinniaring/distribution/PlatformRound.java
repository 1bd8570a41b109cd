package dev.zinniaring.distribution;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Collects acknowledgements of a majority of seeds through rows on the platform, when no single
 * reader reaches a majority. Each reader writes rows for the seeds that it reaches. A reader also
 * finishes if another one has already proved that a majority recorded the version.
 *
 * <p>A row has the key {@code seed@incarnation}. Its value consists of the version number and a
 * stamp, which is one above the highest stamp that the writer had read before it sent its request
 * to the seed. If a majority of rows is read with a highest stamp {@code s}, and the same rows are
 * later read with stamps of at least {@code s + 2}, these seeds held the version at the time of the
 * first read: a row with stamp {@code s + 1} is written after the first read, and the writer of
 * {@code s + 2} sent its request to the seed after it had read {@code s + 1}.
 */
final class PlatformRound {
    private static final int STAMP_BITS = 24;
    private static final long STAMP_MASK = (1L << STAMP_BITS) - 1;

    // If a seed restarts after the first read, the row of its earlier incarnation is never written
    // again, and the round may never complete. A later read therefore replaces the first one when
    // the stamps have advanced by more than this number.
    private static final long STALE_STAMPS = 8;

    /**
     * Key of the row with the highest version number that is known to be recorded by a majority.
     */
    static final String RECORDED = "recorded";

    private final long number;
    private final Seeds seeds;
    private Map<String, Long> stamps = Map.of();
    private Set<String> firstSeen = Set.of();
    private long firstStamp;
    private boolean recorded;

    PlatformRound(long number, Seeds seeds) {
        this.number = number;
        this.seeds = seeds;
    }

    /** Processes all rows, as returned by one read. */
    void read(Map<String, Long> rows) {
        // Once a majority has recorded a version this stays true, so one proof is valid for all
        // readers.
        recorded = rows.getOrDefault(RECORDED, 0L) >= number;
        stamps = new HashMap<>();
        rows.forEach(this::addRow);
        boolean majority = seedsOf(stamps.keySet()).size() >= seeds.majority();
        boolean stale = highestStamp() - firstStamp > STALE_STAMPS;
        if (majority && !complete() && (firstSeen.isEmpty() || stale)) {
            firstSeen = Set.copyOf(stamps.keySet());
            firstStamp = highestStamp();
        }
    }

    private void addRow(String key, long value) {
        int at = key.lastIndexOf('@');
        boolean known = at > 0 && seeds.contains(key.substring(0, at));
        if (known && value >>> STAMP_BITS == number) {
            stamps.put(key, value & STAMP_MASK);
        }
    }

    /** Returns the value of the rows for seeds to which a request is sent after the last read. */
    long nextValue() {
        return number << STAMP_BITS | (highestStamp() + 1) & STAMP_MASK;
    }

    /** Returns whether a majority has recorded the version, so that it may be activated. */
    boolean complete() {
        if (recorded) {
            return true;
        }
        Set<String> twice = new HashSet<>(firstSeen);
        twice.removeIf(key -> stamps.getOrDefault(key, 0L) < firstStamp + 2);
        return seedsOf(twice).size() >= seeds.majority();
    }

    private long highestStamp() {
        return stamps.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    private static Set<String> seedsOf(Set<String> keys) {
        Set<String> names = new HashSet<>();
        keys.forEach(key -> names.add(key.substring(0, key.lastIndexOf('@'))));
        return names;
    }
}
