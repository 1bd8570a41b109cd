package dev.zinniaring.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.transport.Peer;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Unit tests of merging, hashing, member selection and timeouts. */
class MembershipLogicTest {
    private static final Duration RETENTION = Duration.ofMinutes(10);

    /** Guards against views that depend on the order or duplication of the updates received. */
    @ParameterizedTest
    @MethodSource("seeds")
    void mergeResultIsIndependentOfOrderAndDuplicates(long seed) {
        Random random = new Random(seed);
        List<Member> updates = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            long life = random.nextInt(3) * 100L;
            MemberState state = MemberState.values()[random.nextInt(4)];
            Peer peer = member("n" + random.nextInt(6), "z" + random.nextInt(2)).peer();
            updates.add(new Member(peer, life + random.nextInt(4), state, life));
        }
        List<Member> other = new ArrayList<>(updates);
        other.addAll(updates.subList(0, 20));
        Collections.shuffle(other, random);
        assertThat(newestViews(table(other))).isEqualTo(newestViews(table(updates)));
    }

    /** Guards against incrementally updated hashes that diverge from the table's contents. */
    @ParameterizedTest
    @MethodSource("seeds")
    void hashesDependOnlyOnTheLiveMembers(long seed) {
        Random random = new Random(seed);
        MemberTable table = new MemberTable(RETENTION);
        for (int i = 0; i < 100; i++) {
            Member member = member("n" + random.nextInt(20), "z" + random.nextInt(3));
            long life = random.nextInt(5);
            MemberState state = MemberState.values()[random.nextInt(4)];
            table.merge(new Member(member.peer(), life, state, life), 0);
        }
        MemberTable same = new MemberTable(RETENTION);
        table.all().stream().filter(Member::isLive).forEach(m -> same.merge(m, 0));
        assertThat(table.hashes().zoneHashes()).isEqualTo(same.hashes().zoneHashes());
        assertThat(table.hashes().differingBuckets("z1", same.hashes().buckets("z1"))).isZero();
    }

    /** Guards against delayed gossip that brings back a member that died or left. */
    @Test
    void tombstonesBlockOlderUpdatesUntilTheyExpire() {
        MemberTable table = new MemberTable(RETENTION);
        Member alive = member("n1", "z");
        table.merge(alive.with(MemberState.DEAD), 0);
        table.expireTombstones(RETENTION.toNanos() - 1);
        assertThat(table.merge(alive, RETENTION.toNanos() - 1)).isFalse();
        table.expireTombstones(RETENTION.toNanos());
        assertThat(table.get("n1")).isNull();
    }

    @Test
    void numberOfTombstonesIsBounded() {
        MemberTable table = new MemberTable(RETENTION);
        for (int i = 0; i < 10_000; i++) {
            table.merge(member("n" + i, "z").with(MemberState.DEAD), i);
        }
        assertThat(table.all()).hasSize(4_096);
        assertThat(table.get("n9999")).isNotNull();
    }

    /** Guards against a disconnected link graph, and link counts that grow with the zone. */
    @ParameterizedTest
    @MethodSource("counts")
    void neighbourCountIsBoundedAndNeighboursConnectTheZone(int count) {
        List<Member> zone = zone(count);
        Map<String, List<String>> links = new HashMap<>();
        for (Member member : zone) {
            List<Peer> neighbours = MemberSelection.neighbours(member, zone);
            assertThat(neighbours).hasSize(Math.min(4, count - 1)).doesNotContain(member.peer());
            assertThat(neighbours).doesNotHaveDuplicates();
            links.put(member.nodeId(), neighbours.stream().map(Peer::nodeId).toList());
        }
        Set<String> reached = new HashSet<>();
        List<String> open = new ArrayList<>(List.of("n0"));
        while (!open.isEmpty()) {
            String next = open.remove(open.size() - 1);
            if (reached.add(next)) {
                open.addAll(links.get(next));
            }
        }
        assertThat(reached).hasSize(count);
    }

    /** Guards against gateways that change when a member that is not a gateway goes. */
    @ParameterizedTest
    @MethodSource("countsFromThree")
    void gatewaysChangeOnlyWhenAGatewayGoes(int count) {
        List<Member> zone = zone(count);
        List<Member> gateways = MemberSelection.gateways("z", zone);
        assertThat(gateways).hasSize(2);
        for (Member gone : zone) {
            List<Member> rest = new ArrayList<>(zone);
            rest.remove(gone);
            List<Member> next = MemberSelection.gateways("z", rest);
            if (gone.equals(gateways.get(0))) {
                assertThat(next.get(0)).isEqualTo(gateways.get(1));
            } else if (!gone.equals(gateways.get(1))) {
                assertThat(next).isEqualTo(gateways);
            }
        }
    }

    /** Guards against members that are not probed for a long time. */
    @Test
    void everyMemberIsProbedOncePerRound() {
        List<Member> zone = zone(20);
        zone.sort(java.util.Comparator.comparing(Member::nodeId));
        ProbeOrder order = new ProbeOrder(new SplittableRandom(1));
        Set<List<String>> rounds = new HashSet<>();
        for (int round = 0; round < 5; round++) {
            List<String> probed = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                probed.add(order.next(zone).orElseThrow().nodeId());
            }
            assertThat(probed).doesNotHaveDuplicates();
            rounds.add(probed);
        }
        assertThat(rounds).hasSize(5);
        assertThat(order.next(List.of())).isEmpty();
    }

    @Test
    void eachUpdateIsSentALimitedNumberOfTimes() {
        UpdateQueue updateQueue = new UpdateQueue();
        zone(30).forEach(updateQueue::add);
        Map<String, Integer> sent = new HashMap<>();
        while (!updateQueue.isEmpty()) {
            updateQueue
                    .nextBatch(30)
                    .forEach(update -> sent.merge(update.nodeId(), 1, Integer::sum));
        }
        assertThat(sent).hasSize(30);
        assertThat(sent.values()).containsOnly(UpdateQueue.transmissions(30));
        assertThat(UpdateQueue.transmissions(30)).isEqualTo(15);
    }

    @Test
    void suspicionTimeoutGrowsWithTheLogarithmOfTheZoneSize() {
        Duration base = Duration.ofMillis(1_200);
        assertThat(Suspicions.timeout(base, 2)).isEqualTo(base);
        assertThat(Suspicions.timeout(base, 10)).isEqualTo(base);
        assertThat(Suspicions.timeout(base, 100)).isEqualTo(Duration.ofMillis(1_800));
        assertThat(Suspicions.timeout(base, 1_000)).isEqualTo(Duration.ofMillis(2_400));
    }

    @Test
    void unhealthyNodeStretchesItsTimeoutsAndRecovers() {
        LocalHealth health = new LocalHealth();
        Duration second = Duration.ofSeconds(1);
        assertThat(health.stretchNanos(second)).isEqualTo(second.toNanos());
        health.recordFailure();
        assertThat(health.stretchNanos(second)).isEqualTo(2 * second.toNanos());
        health.recordPause();
        assertThat(health.stretchNanos(second)).isEqualTo(5 * second.toNanos());
        for (int i = 0; i < 10; i++) {
            health.recordSuccess();
        }
        assertThat(health.score()).isZero();
    }

    private static MemberTable table(List<Member> updates) {
        MemberTable table = new MemberTable(RETENTION);
        updates.forEach(update -> table.merge(update, 0));
        return table;
    }

    /**
     * Returns each member's life, incarnation and state; zones may differ between equal entries.
     */
    private static Map<String, List<Object>> newestViews(MemberTable table) {
        Map<String, List<Object>> found = new HashMap<>();
        table.all()
                .forEach(m -> found.put(m.nodeId(), List.of(m.life(), m.incarnation(), m.state())));
        return found;
    }

    private static List<Member> zone(int count) {
        List<Member> zone = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            zone.add(member("n" + i, "z"));
        }
        return zone;
    }

    private static Member member(String nodeId, String zone) {
        int port = 1_000 + Integer.parseInt(nodeId.substring(1));
        Peer peer = new Peer(nodeId, zone, new InetSocketAddress("127.0.0.1", port));
        return new Member(peer, 1, MemberState.ALIVE);
    }

    static LongStream seeds() {
        return LongStream.concat(
                LongStream.of(0, 1, -1, Long.MIN_VALUE, Long.MAX_VALUE), new Random(31).longs(200));
    }

    static IntStream counts() {
        return IntStream.rangeClosed(2, 120);
    }

    static IntStream countsFromThree() {
        return IntStream.rangeClosed(3, 60);
    }
}
