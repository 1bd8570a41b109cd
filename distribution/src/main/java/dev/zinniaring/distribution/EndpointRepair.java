package dev.zinniaring.distribution;

import dev.zinniaring.kernel.TokenBucket;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.transport.Peer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Compares digests with peers and exchanges the buckets that differ; fetches the whole list on
 * start. Runs in the mailbox.
 */
final class EndpointRepair {
    private static final long ALL_BUCKETS = -1L;
    private static final int RECORDS_PER_BATCH = 2_000;
    private static final int MAX_BUCKETS_IN_FLIGHT = 16;
    // Longer than a change takes to reach all zones.
    private static final Duration RECHECK = Duration.ofMillis(500);
    private static final double LISTS_PER_SECOND = 20;
    private static final double LISTS_AT_ONCE = 40;

    private final CrossZoneTurn turn = new CrossZoneTurn();
    private final Context context;
    private final EndpointStore store;
    private final TokenBucket lists;
    private final Map<String, Long> suspects = new HashMap<>();
    private long syncedBuckets;
    private int attempts;
    private long differences;
    private long refusedPulls;
    private List<EndpointBatch> wholeList = List.of();
    private long[] wholeListDigest = new long[0];

    EndpointRepair(Context context, EndpointStore store) {
        this.context = context;
        this.store = store;
        this.lists = new TokenBucket(context.clock(), LISTS_PER_SECOND, LISTS_AT_ONCE);
    }

    /** Sends a digest to one peer of the own zone, and in its turn to one of another zone. */
    void sendDigests() {
        EndpointDigest digest = EndpointDigest.summaryOf(store.digest());
        Gossip.inZone(context.view(), context.random())
                .ifPresent(peer -> context.network().send(peer, digest));
        if (turn.next(context.view())) {
            Gossip.acrossZones(context.view(), context.random())
                    .ifPresent(peer -> context.network().send(peer, digest));
        }
    }

    void onDigest(Peer from, EndpointDigest digest) {
        long[] own = store.digest();
        if (EndpointDigest.summary(own) == digest.summary()) {
            suspects.remove(from.zone());
            return;
        }
        if (digest.buckets().length == 0) {
            differences++;
            context.network().send(from, EndpointDigest.of(own));
        } else {
            long buckets = toPull(from, digest.differing(own));
            if (buckets != 0) {
                context.network().send(from, new EndpointPull(buckets));
            }
        }
    }

    /**
     * Returns which differing buckets to pull. A bucket may differ only because a change is on its
     * way; between zones, where bytes are dear, it is pulled when it differs twice in a row. Many
     * differing buckets mean that this node was cut off.
     */
    private long toPull(Peer from, long differing) {
        boolean dear = !from.zone().equals(context.zone());
        if (!dear || Long.bitCount(differing) > MAX_BUCKETS_IN_FLIGHT) {
            return differing;
        }
        long before = suspects.getOrDefault(from.zone(), 0L);
        suspects.put(from.zone(), differing);
        if ((differing & ~before) != 0) {
            // The next turn of this zone may be far off where there are many zones.
            context.after(RECHECK, () -> recheck(from));
        }
        return differing & before;
    }

    private void recheck(Peer peer) {
        context.network().send(peer, EndpointDigest.summaryOf(store.digest()));
    }

    void onPull(Peer from, EndpointPull pull) {
        if (pull.buckets() == 0) {
            return;
        }
        if (!lists.take()) {
            refusedPulls++;
            return;
        }
        batches(pull.buckets()).forEach(batch -> context.network().send(from, batch));
    }

    /** Sends back what this node holds beyond a peer's whole buckets. */
    void answered(Peer from, long wholeBuckets, List<EndpointRecord> records) {
        syncedBuckets |= wholeBuckets;
        List<EndpointRecord> beyond = store.beyond(wholeBuckets, records);
        for (int i = 0; i < beyond.size(); i += RECORDS_PER_BATCH) {
            List<EndpointRecord> part =
                    beyond.subList(i, Math.min(beyond.size(), i + RECORDS_PER_BATCH));
            context.network().send(from, new EndpointBatch(0, EndpointBlock.pack(part)));
        }
    }

    /** Asks a peer for its whole list. */
    void pullAll() {
        Optional<Peer> peer = Gossip.forStart(context.view(), context.random(), attempts++);
        peer.ifPresent(to -> context.network().send(to, new EndpointPull(ALL_BUCKETS)));
    }

    boolean synced() {
        return syncedBuckets == ALL_BUCKETS;
    }

    long differences() {
        return differences;
    }

    long refusedPulls() {
        return refusedPulls;
    }

    private List<EndpointBatch> batches(long buckets) {
        if (buckets != ALL_BUCKETS) {
            return split(buckets);
        }
        long[] digest = store.digest();
        if (!Arrays.equals(digest, wholeListDigest)) {
            wholeList = split(ALL_BUCKETS);
            wholeListDigest = digest;
        }
        return wholeList;
    }

    /** Splits into batches of whole buckets, so that each can be compared by itself. */
    private List<EndpointBatch> split(long buckets) {
        List<EndpointBatch> batches = new ArrayList<>();
        List<EndpointRecord> records = new ArrayList<>();
        long done = 0;
        for (int i = 0; i < EndpointStore.BUCKETS; i++) {
            long bucket = buckets & 1L << i;
            records.addAll(bucket == 0 ? List.of() : store.inBuckets(bucket));
            done |= bucket;
            if (records.size() >= RECORDS_PER_BATCH) {
                batches.add(new EndpointBatch(done, EndpointBlock.pack(records)));
                records.clear();
                done = 0;
            }
        }
        if (done != 0) {
            batches.add(new EndpointBatch(done, EndpointBlock.pack(records)));
        }
        return batches;
    }
}
