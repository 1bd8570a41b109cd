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

/** The pure decisions: merging, hashing, choosing, timing. */
class DecisionsTest {
    private static final Duration MEMORY = Duration.ofMinutes(10);

    /** Guards against views that depend on the order or number of copies in which news arrive. */
    @ParameterizedTest
    @MethodSource("seeds")
    void mergingDoesNotDependOnOrderOrCopies(long seed) {
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
        assertThat(strongest(table(other))).isEqualTo(strongest(table(updates)));
    }

    /** Guards against hashes that drift from the table that they stand for. */
    @ParameterizedTest
    @MethodSource("seeds")
    void hashesFollowFromTheLiveMembersAlone(long seed) {
        Random random = new Random(seed);
        MemberTable table = new MemberTable(MEMORY);
        for (int i = 0; i < 100; i++) {
            Member member = member("n" + random.nextInt(20), "z" + random.nextInt(3));
            long life = random.nextInt(5);
            MemberState state = MemberState.values()[random.nextInt(4)];
            table.merge(new Member(member.peer(), life, state, life), 0);
        }
        MemberTable same = new MemberTable(MEMORY);
        table.all().stream().filter(Member::live).forEach(m -> same.merge(m, 0));
        assertThat(table.hashes().zoneHashes()).isEqualTo(same.hashes().zoneHashes());
        assertThat(table.hashes().differing("z1", same.hashes().buckets("z1"))).isZero();
    }

    /** Guards against old gossip that brings back a member that died or left. */
    @Test
    void theDeadAreRememberedForATimeAndThenForgotten() {
        MemberTable table = new MemberTable(MEMORY);
        Member alive = member("n1", "z");
        table.merge(alive.with(MemberState.DEAD), 0);
        table.forget(MEMORY.toNanos() - 1);
        assertThat(table.merge(alive, MEMORY.toNanos() - 1)).isFalse();
        table.forget(MEMORY.toNanos());
        assertThat(table.get("n1")).isNull();
    }

    @Test
    void theNumberOfRememberedDeadIsBounded() {
        MemberTable table = new MemberTable(MEMORY);
        for (int i = 0; i < 10_000; i++) {
            table.merge(member("n" + i, "z").with(MemberState.DEAD), i);
        }
        assertThat(table.all()).hasSize(4_096);
        assertThat(table.get("n9999")).isNotNull();
    }

    /** Guards against a graph of links that falls into parts, or links that grow with the zone. */
    @ParameterizedTest
    @MethodSource("counts")
    void neighboursAreFewAndConnectTheZone(int count) {
        List<Member> zone = zone(count);
        Map<String, List<String>> links = new HashMap<>();
        for (Member member : zone) {
            List<Peer> neighbours = Choices.neighbours(member, zone);
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

    /** Guards against gateways that change when an unrelated member comes or goes. */
    @ParameterizedTest
    @MethodSource("countsFromThree")
    void gatewaysChangeOnlyWithThemselves(int count) {
        List<Member> zone = zone(count);
        List<Member> gateways = Choices.gateways("z", zone);
        assertThat(gateways).hasSize(2);
        for (Member gone : zone) {
            List<Member> rest = new ArrayList<>(zone);
            rest.remove(gone);
            List<Member> next = Choices.gateways("z", rest);
            if (gone.equals(gateways.get(0))) {
                assertThat(next.get(0)).isEqualTo(gateways.get(1));
            } else if (!gone.equals(gateways.get(1))) {
                assertThat(next).isEqualTo(gateways);
            }
        }
    }

    /** Guards against members that are not probed for long: each comes once per round. */
    @Test
    void everyMemberIsProbedOnceInEachRound() {
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
    void updatesAreSentLeastSentFirstAndALimitedNumberOfTimes() {
        Piggyback piggyback = new Piggyback();
        zone(30).forEach(piggyback::add);
        Map<String, Integer> sent = new HashMap<>();
        while (!piggyback.isEmpty()) {
            piggyback.take(30).forEach(update -> sent.merge(update.nodeId(), 1, Integer::sum));
        }
        assertThat(sent).hasSize(30);
        assertThat(sent.values()).containsOnly(Piggyback.transmissions(30));
        assertThat(Piggyback.transmissions(30)).isEqualTo(15);
    }

    @Test
    void theTimeToRefuteGrowsWithTheLogarithmOfTheZone() {
        Duration base = Duration.ofMillis(1_200);
        assertThat(Suspicions.timeout(base, 2)).isEqualTo(base);
        assertThat(Suspicions.timeout(base, 10)).isEqualTo(base);
        assertThat(Suspicions.timeout(base, 100)).isEqualTo(Duration.ofMillis(1_800));
        assertThat(Suspicions.timeout(base, 1_000)).isEqualTo(Duration.ofMillis(2_400));
    }

    @Test
    void aNodeThatSeemsIllWaitsLongerAndRecovers() {
        LocalHealth health = new LocalHealth();
        Duration second = Duration.ofSeconds(1);
        assertThat(health.stretchNanos(second)).isEqualTo(second.toNanos());
        health.worse();
        assertThat(health.stretchNanos(second)).isEqualTo(2 * second.toNanos());
        health.paused();
        assertThat(health.stretchNanos(second)).isEqualTo(5 * second.toNanos());
        for (int i = 0; i < 10; i++) {
            health.better();
        }
        assertThat(health.score()).isZero();
    }

    private static MemberTable table(List<Member> updates) {
        MemberTable table = new MemberTable(MEMORY);
        updates.forEach(update -> table.merge(update, 0));
        return table;
    }

    /** Returns what a table says of each member; equal views may differ in the zone they name. */
    private static Map<String, List<Object>> strongest(MemberTable table) {
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
