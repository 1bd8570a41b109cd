package dev.zinniaring.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Hashes of the live members by availability zone and bucket, updated incrementally with each
 * change, so that the cost of comparing two member lists does not depend on their length.
 */
final class MemberHashes {
    static final int BUCKETS = Long.SIZE;

    private final Map<String, long[]> zones = new HashMap<>();
    private final Map<String, Integer> liveCounts = new HashMap<>();

    /**
     * Adds or removes a member; does nothing if the member is not live.
     *
     * @param liveCountDelta 1 to add the member, -1 to remove it
     */
    void toggle(Member member, int liveCountDelta) {
        if (!member.isLive()) {
            return;
        }
        long[] buckets = zones.computeIfAbsent(member.zone(), z -> new long[BUCKETS]);
        buckets[bucket(member.nodeId())] ^= hash(member);
        int live = liveCounts.merge(member.zone(), liveCountDelta, Integer::sum);
        if (live == 0) {
            zones.remove(member.zone());
            liveCounts.remove(member.zone());
        }
    }

    /** Returns one combined hash for each zone that has live members. */
    SortedMap<String, Long> zoneHashes() {
        SortedMap<String, Long> hashes = new TreeMap<>();
        zones.forEach((zone, buckets) -> hashes.put(zone, combine(buckets)));
        return hashes;
    }

    /** Returns the bucket hashes of a zone. */
    List<Long> buckets(String zone) {
        List<Long> hashes = new ArrayList<>(BUCKETS);
        for (long hash : zones.getOrDefault(zone, new long[BUCKETS])) {
            hashes.add(hash);
        }
        return hashes;
    }

    /** Returns a bit mask of the buckets whose hashes differ from those of another node. */
    long differingBuckets(String zone, List<Long> theirs) {
        List<Long> ours = buckets(zone);
        long mask = 0;
        for (int i = 0; i < BUCKETS; i++) {
            mask |= ours.get(i).equals(theirs.get(i)) ? 0 : 1L << i;
        }
        return mask;
    }

    static boolean maskContains(long mask, String nodeId) {
        return (mask >>> bucket(nodeId) & 1) == 1;
    }

    static long hash(String text) {
        return Hashing.farmHashFingerprint64().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    private static int bucket(String nodeId) {
        return (int) Long.remainderUnsigned(hash(nodeId), BUCKETS);
    }

    private static long hash(Member member) {
        return Hashing.farmHashFingerprint64()
                .newHasher()
                .putString(member.nodeId(), StandardCharsets.UTF_8)
                .putLong(member.life())
                .putLong(member.incarnation())
                .hash()
                .asLong();
    }

    private static long combine(long[] buckets) {
        long combined = 0;
        for (long bucket : buckets) {
            combined = Long.rotateLeft(combined, 5) * 0x9E3779B97F4A7C15L + bucket;
        }
        return combined;
    }
}
