package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

class EndpointStoreTest {
    private static final long GONE_RETENTION_NANOS = EndpointStore.GONE_RETENTION.toNanos();
    private final EndpointStore store = new EndpointStore();

    // Guards against views that depend on the order in which updates arrive.
    @Test
    void anyOrderOfArrivalGivesTheSameViewAndDigest() {
        List<EndpointRecord> records = new ArrayList<>();
        Random random = new Random(5);
        for (int i = 0; i < 200; i++) {
            EndpointState state = EndpointState.values()[random.nextInt(4)];
            records.add(record("s" + random.nextInt(20), 1 + random.nextInt(3), i, state));
        }
        store.merge(records, 0);
        for (int i = 0; i < 50; i++) {
            Collections.shuffle(records, random);
            EndpointStore other = new EndpointStore();
            records.forEach(record -> other.merge(List.of(record), 0));
            assertThat(other.view().of("service")).isEqualTo(store.view().of("service"));
            assertThat(other.digest()).isEqualTo(store.digest());
        }
    }

    @Test
    void removedRecordRejectsOlderOnesUntilItExpires() {
        store.merge(List.of(record("s", 1, 1, EndpointState.READY)), 0);
        store.merge(List.of(record("s", 1, 3, EndpointState.GONE)), 0);
        assertThat(store.merge(List.of(record("s", 1, 2, EndpointState.READY)), 0)).isEmpty();
        assertThat(store.view().all()).isEmpty();
        assertThat(store.digest()).as("same digest as without the record").containsOnly(0L);
        assertThat(store.expire(record -> false, GONE_RETENTION_NANOS - 1)).isZero();
        assertThat(store.expire(record -> false, GONE_RETENTION_NANOS)).isEqualTo(1);
    }

    @Test
    void recordsOfADeadNodeAreDropped() {
        store.merge(List.of(record("s", 1, 1, EndpointState.READY)), 0);
        assertThat(store.expire(record -> record.nodeId().equals("node"), 0)).isEqualTo(1);
        assertThat(store.view().of("service")).isEmpty();
    }

    @Test
    void differingBucketsContainExactlyTheRecordsThatAPeerLacks() {
        EndpointStore peer = new EndpointStore();
        for (int i = 0; i < 100; i++) {
            EndpointRecord record = record("s" + i, 1, i + 1, EndpointState.READY);
            store.merge(List.of(record), 0);
            peer.merge(i == 42 ? List.of() : List.of(record), 0);
        }
        long buckets = EndpointDigest.of(peer.digest()).differing(store.digest());
        assertThat(Long.bitCount(buckets)).isEqualTo(1);
        assertThat(store.missingFrom(buckets, peer.inBuckets(buckets)))
                .extracting(EndpointRecord::serverId)
                .containsExactly("s42");
    }

    // Guards against a record of an earlier incarnation that survives a restart of its node.
    @Test
    void nodeSupersedesOutdatedRecordsInItsName() {
        LocalEndpoints local = new LocalEndpoints("node", "zone", "10.0.0.1:1", 50);
        List<EndpointRecord> superseding =
                local.supersede(List.of(record("s", 70, 9, EndpointState.READY)));
        assertThat(superseding)
                .singleElement()
                .matches(record -> record.state() == EndpointState.GONE)
                .matches(record -> record.newerThan(record("s", 70, 9, EndpointState.READY)));
        EndpointRecord announced =
                local.announce(
                                new Endpoints.LocalEndpoint(
                                        "s", "service", 1, 1, EndpointState.READY, 0))
                        .orElseThrow();
        assertThat(announced.newerThan(superseding.get(0))).isTrue();
    }

    @Test
    void recordsOfANodeUnknownToTheMembershipAreDroppedAfterAMinute() {
        dev.zinniaring.kernel.ManualClock clock =
                dev.zinniaring.kernel.ManualClock.startingAt(java.time.Instant.EPOCH);
        LivenessFilter filter = new LivenessFilter(clock);
        SimView view = new SimView(null, java.util.Map.of());
        EndpointRecord record = record("s", 1, 1, EndpointState.READY);
        assertThat(filter.shouldDrop(view, record)).isFalse();
        clock.advance(Duration.ofSeconds(60));
        assertThat(filter.shouldDrop(view, record)).isTrue();
    }

    // Guards against a view that misses a record of a concurrent merge.
    @Test
    void concurrentMergesAreLinearizable() {
        new StressOptions()
                .iterations(20)
                .invocationsPerIteration(500)
                .check(ConcurrentStore.class);
    }

    static EndpointRecord record(
            String serverId, long incarnation, long sequence, EndpointState state) {
        return new EndpointRecord(
                serverId,
                "service",
                "node",
                "zone",
                "10.0.0.1:1",
                incarnation,
                sequence,
                1,
                1,
                state,
                0);
    }

    /** Operations for Lincheck. */
    @Param(name = "server", gen = IntGen.class, conf = "1:2")
    @Param(name = "sequence", gen = IntGen.class, conf = "1:4")
    public static class ConcurrentStore {
        private final EndpointStore store = new EndpointStore();

        @Operation
        public int merge(
                @Param(name = "server") int server, @Param(name = "sequence") int sequence) {
            EndpointState state = sequence == 3 ? EndpointState.GONE : EndpointState.READY;
            return store.merge(List.of(record("s" + server, 1, sequence, state)), 0).size();
        }

        @Operation
        public String view() {
            StringBuilder seen = new StringBuilder();
            for (EndpointRecord record : store.view().of("service")) {
                seen.append(record.serverId()).append('/').append(record.sequence()).append(' ');
            }
            return seen.toString();
        }
    }
}
