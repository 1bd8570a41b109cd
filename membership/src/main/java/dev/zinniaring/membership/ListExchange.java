package dev.zinniaring.membership;

import dev.zinniaring.membership.Messages.MemberBuckets;
import dev.zinniaring.membership.Messages.MemberDigest;
import dev.zinniaring.membership.Messages.MemberEntries;
import dev.zinniaring.transport.Peer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Repairs what gossip missed and carries the lists across zones: sends hashes of the member list to
 * a neighbour, and from gateways to gateways of other zones; only members in buckets that differ
 * travel. Guarded by the lock of {@link GossipMembership}.
 */
final class ListExchange {
    private final Core core;
    private final Prober prober;
    private final List<InetSocketAddress> seeds;
    private long nextExchangeNanos;
    private long nextSeedNanos;
    private boolean otherZoneTurn;

    ListExchange(Core core, Prober prober, List<InetSocketAddress> seeds) {
        this.core = core;
        this.prober = prober;
        this.seeds = seeds;
        long period = core.timings.exchangePeriod().toNanos();
        this.nextExchangeNanos = core.now() + core.random.nextLong(period);
        this.nextSeedNanos = core.now() + core.timings.seedPeriod().toNanos();
    }

    void tick() {
        long now = core.now();
        pushToOtherZones();
        if (now - nextExchangeNanos >= 0) {
            nextExchangeNanos = now + core.timings.exchangePeriod().toNanos();
            core.table.forget(now);
            digestToNeighbour();
            digestToOtherZone();
            pingOneOfTheDead();
        }
        if (now - nextSeedNanos >= 0) {
            nextSeedNanos = now + core.timings.seedPeriod().toNanos();
            digestToSeed();
        }
    }

    void onDigest(Peer from, MemberDigest digest) {
        core.heard(from, digest.sender());
        SortedMap<String, Long> ours = core.table.hashes().zoneHashes();
        SortedSet<String> zones = new TreeSet<>(ours.keySet());
        zones.addAll(digest.zoneHashes().keySet());
        for (String zone : zones) {
            Long own = ours.get(zone);
            if (own == null || !own.equals(digest.zoneHashes().get(zone))) {
                core.network.send(from, new MemberBuckets(zone, core.table.hashes().buckets(zone)));
            }
        }
    }

    void onBuckets(Peer from, MemberBuckets buckets) {
        long mask = core.table.hashes().differing(buckets.zone(), buckets.hashes());
        if (mask == 0) {
            return;
        }
        List<Member> ours = core.table.inBuckets(buckets.zone(), mask);
        send(from, buckets.zone(), mask, ours);
    }

    void onEntries(Peer from, MemberEntries entries) {
        List<Member> newer = new ArrayList<>();
        if (entries.askedBuckets() != 0) {
            Map<String, Member> theirs = new HashMap<>();
            entries.members().forEach(member -> theirs.put(member.nodeId(), member));
            for (Member own : core.table.inBuckets(entries.zone(), entries.askedBuckets())) {
                Member their = theirs.get(own.nodeId());
                if (their == null ? own.live() : own.newerThan(their)) {
                    newer.add(own);
                }
            }
        }
        core.mergeFrom(from, entries.members());
        if (!newer.isEmpty()) {
            send(from, entries.zone(), 0, newer);
        }
    }

    /** Tells the other zones at once what changed in this one; digests repair what gets lost. */
    void pushToOtherZones() {
        Collection<Member> changes = core.takeZoneChanges();
        if (changes.isEmpty() || !core.view().isReader()) {
            return;
        }
        String own = core.self().zone();
        for (String zone : core.view().zones()) {
            List<Member> gateways = core.view().gateways(zone);
            if (!zone.equals(own) && !gateways.isEmpty()) {
                send(gateways.get(0).peer(), own, 0, new ArrayList<>(changes));
            }
        }
    }

    private void digestToNeighbour() {
        List<Peer> neighbours = core.view().neighbours();
        if (!neighbours.isEmpty()) {
            Peer chosen = neighbours.get(core.random.nextInt(neighbours.size()));
            core.network.send(chosen, digest());
        }
    }

    /**
     * Only the first gateway asks, in every second round: changes are pushed at once, so that
     * repair across zones may be slower, and bytes across zones cost more.
     */
    private void digestToOtherZone() {
        otherZoneTurn = !otherZoneTurn;
        if (!otherZoneTurn || !core.view().isReader()) {
            return;
        }
        List<String> zones = new ArrayList<>(core.view().zones());
        zones.remove(core.self().zone());
        if (zones.isEmpty()) {
            return;
        }
        List<Member> gateways = core.view().gateways(zones.get(core.random.nextInt(zones.size())));
        Member chosen = gateways.get(core.random.nextInt(gateways.size()));
        core.network.send(chosen.peer(), digest());
    }

    /** Finds the others again after both sides of a partition declared each other dead. */
    private void pingOneOfTheDead() {
        if (core.random.nextInt(core.view().zoneSize()) != 0) {
            return;
        }
        List<Member> dead = core.table.deadIn(core.self().zone());
        if (!dead.isEmpty()) {
            prober.ping(dead.get(core.random.nextInt(dead.size())).peer());
        }
    }

    /**
     * Reaches zones whose gateways have all been replaced while they could not be reached, and
     * other members if this node knows none in its zone.
     */
    private void digestToSeed() {
        if (core.view().isGateway() && !seeds.isEmpty()) {
            core.network.send(seeds.get(core.random.nextInt(seeds.size())), digest());
        }
    }

    private MemberDigest digest() {
        return new MemberDigest(core.sender(), core.table.hashes().zoneHashes());
    }

    private void send(Peer to, String zone, long mask, List<Member> members) {
        for (int from = 0; from < members.size() || from == 0; from += MemberFields.MAX_MEMBERS) {
            int end = Math.min(members.size(), from + MemberFields.MAX_MEMBERS);
            List<Member> part = List.copyOf(members.subList(from, end));
            core.network.send(to, new MemberEntries(zone, mask, part));
        }
    }
}
