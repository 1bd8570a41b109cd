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
 * Anti-entropy for endpoint records: exchanges digests with peers and transfers the buckets that
 * differ. Fetches all records from a peer on start. Runs in the mailbox.
 */
final class EndpointRepair {
    private static final long ALL_BUCKETS = -1L;
    private static final int RECORDS_PER_BATCH = 2_000;
    private static final int MAX_TRANSIENT_BUCKETS = 16;
    // Longer than a change needs to reach all zones.
    private static final Duration RECHECK_DELAY = Duration.ofMillis(500);
    private static final double PULLS_PER_SECOND = 20;
    private static final double PULL_BURST = 40;

    private final CrossZoneSchedule crossZoneSchedule = new CrossZoneSchedule();
    private final Context context;
    private final EndpointStore store;
    private final TokenBucket pullLimit;
    private final Map<String, Long> lastDiffering = new HashMap<>();
    private long syncedBuckets;
    private int attempts;
    private long differences;
    private long refusedPulls;
    private List<EndpointBatch> wholeList = List.of();
    private long[] wholeListDigest = new long[0];

    EndpointRepair(Context context, EndpointStore store) {
        this.context = context;
        this.store = store;
        this.pullLimit = new TokenBucket(context.clock(), PULLS_PER_SECOND, PULL_BURST);
    }

    /**
     * Sends a digest to one peer of the own zone and, in the rounds that include another zone, to
     * one gateway of another zone.
     */
    void sendDigests() {
        EndpointDigest digest = EndpointDigest.summaryOf(store.digest());
        PeerSelection.inZone(context.view(), context.random())
                .ifPresent(peer -> context.network().send(peer, digest));
        if (crossZoneSchedule.next(context.view())) {
            PeerSelection.acrossZones(context.view(), context.random())
                    .ifPresent(peer -> context.network().send(peer, digest));
        }
    }

    void onDigest(Peer from, EndpointDigest digest) {
        long[] own = store.digest();
        if (EndpointDigest.summary(own) == digest.summary()) {
            lastDiffering.remove(from.zone());
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
     * Returns the differing buckets to pull. A bucket may differ only because a change is still in
     * transit. Between zones, where traffic is expensive, a bucket is therefore pulled only if it
     * differs twice in a row. If many buckets differ, this node was probably partitioned, and all
     * of them are pulled immediately.
     */
    private long toPull(Peer from, long differing) {
        boolean crossZone = !from.zone().equals(context.zone());
        if (!crossZone || Long.bitCount(differing) > MAX_TRANSIENT_BUCKETS) {
            return differing;
        }
        long before = lastDiffering.getOrDefault(from.zone(), 0L);
        lastDiffering.put(from.zone(), differing);
        if ((differing & ~before) != 0) {
            // Repeats the comparison soon: with many zones, the next one with this zone may be far
            // in the future.
            context.after(RECHECK_DELAY, () -> recheck(from));
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
        if (!pullLimit.take()) {
            refusedPulls++;
            return;
        }
        batches(pull.buckets()).forEach(batch -> context.network().send(from, batch));
    }

    /**
     * Marks the buckets as synced and sends the peer those records of the buckets that it lacks or
     * holds in an older state.
     */
    void onRecords(Peer from, long wholeBuckets, List<EndpointRecord> records) {
        syncedBuckets |= wholeBuckets;
        List<EndpointRecord> missing = store.missingFrom(wholeBuckets, records);
        for (int i = 0; i < missing.size(); i += RECORDS_PER_BATCH) {
            List<EndpointRecord> part =
                    missing.subList(i, Math.min(missing.size(), i + RECORDS_PER_BATCH));
            context.network().send(from, new EndpointBatch(0, EndpointBlock.encode(part)));
        }
    }

    /** Requests all records of a peer. */
    void pullAll() {
        Optional<Peer> peer =
                PeerSelection.forBootstrap(context.view(), context.random(), attempts++);
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

    /**
     * Splits into batches of whole buckets, so that the receiver can compare each batch separately.
     */
    private List<EndpointBatch> split(long buckets) {
        List<EndpointBatch> batches = new ArrayList<>();
        List<EndpointRecord> records = new ArrayList<>();
        long done = 0;
        for (int i = 0; i < EndpointStore.BUCKETS; i++) {
            long bucket = buckets & 1L << i;
            records.addAll(bucket == 0 ? List.of() : store.inBuckets(bucket));
            done |= bucket;
            if (records.size() >= RECORDS_PER_BATCH) {
                batches.add(new EndpointBatch(done, EndpointBlock.encode(records)));
                records.clear();
                done = 0;
            }
        }
        if (done != 0) {
            batches.add(new EndpointBatch(done, EndpointBlock.encode(records)));
        }
        return batches;
    }
}
