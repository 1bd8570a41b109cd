package dev.zinniaring.distribution;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Puts a majority of seeds together from rows that several readers leave on the platform, each for
 * the seeds that it reaches, or learns from a row that another reader has done so.
 *
 * <p>A row is named {@code seed@life}. Its value holds the version's number and a stamp, one above
 * the highest stamp that the writer had read before it asked the seed. A majority that is seen once
 * at a highest stamp {@code s} and again with stamps of at least {@code s + 2} held the version at
 * the moment of the first sight: a stamp of {@code s + 1} is written after that moment, and the
 * writer of {@code s + 2} asked its seed after reading {@code s + 1}.
 */
final class PlatformRound {
    private static final int STAMP_BITS = 24;
    private static final long STAMP_MASK = (1L << STAMP_BITS) - 1;

    // A seed that restarted in between never completes the first sight; then it is taken anew.
    private static final long STALE_STAMPS = 8;

    /** Key of the row that names the highest number known to be recorded by a majority. */
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

    /** Learns all rows, as read at one moment. */
    void read(Map<String, Long> rows) {
        // That a majority recorded a number stays true, so that one reader's proof serves all.
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

    /** Returns the value of the rows of seeds that were asked after the last read. */
    long nextValue() {
        return number << STAMP_BITS | (highestStamp() + 1) & STAMP_MASK;
    }

    /** Returns whether the version may be put in force. */
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
