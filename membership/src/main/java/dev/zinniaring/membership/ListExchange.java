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
 * Anti-entropy for the member list: repairs updates that gossip missed and synchronizes the lists
 * of different availability zones. Hashes of the list are sent to a neighbour, and from gateways to
 * gateways of other zones; only the members in buckets with different hashes are transferred.
 * Guarded by the lock of {@link GossipMembership}.
 */
final class ListExchange {
    private final MembershipContext context;
    private final Prober prober;
    private final List<InetSocketAddress> seeds;
    private long nextExchangeNanos;
    private long nextSeedNanos;
    private boolean otherZoneRound;

    ListExchange(MembershipContext context, Prober prober, List<InetSocketAddress> seeds) {
        this.context = context;
        this.prober = prober;
        this.seeds = seeds;
        long period = context.timings.exchangePeriod().toNanos();
        this.nextExchangeNanos = context.now() + context.random.nextLong(period);
        this.nextSeedNanos = context.now() + context.timings.seedPeriod().toNanos();
    }

    void tick() {
        long now = context.now();
        pushToOtherZones();
        if (now - nextExchangeNanos >= 0) {
            nextExchangeNanos = now + context.timings.exchangePeriod().toNanos();
            context.table.expireTombstones(now);
            sendDigestToNeighbour();
            sendDigestToOtherZone();
            pingRandomDeadMember();
        }
        if (now - nextSeedNanos >= 0) {
            nextSeedNanos = now + context.timings.seedPeriod().toNanos();
            sendDigestToSeed();
        }
    }

    void onDigest(Peer from, MemberDigest digest) {
        context.markAlive(from, digest.sender());
        SortedMap<String, Long> ours = context.table.hashes().zoneHashes();
        SortedSet<String> zones = new TreeSet<>(ours.keySet());
        zones.addAll(digest.zoneHashes().keySet());
        for (String zone : zones) {
            Long own = ours.get(zone);
            if (own == null || !own.equals(digest.zoneHashes().get(zone))) {
                context.network.send(
                        from, new MemberBuckets(zone, context.table.hashes().buckets(zone)));
            }
        }
    }

    void onBuckets(Peer from, MemberBuckets buckets) {
        long mask = context.table.hashes().differingBuckets(buckets.zone(), buckets.hashes());
        if (mask == 0) {
            return;
        }
        List<Member> ours = context.table.inBuckets(buckets.zone(), mask);
        send(from, buckets.zone(), mask, ours);
    }

    void onEntries(Peer from, MemberEntries entries) {
        List<Member> newer = new ArrayList<>();
        if (entries.requestedBuckets() != 0) {
            Map<String, Member> theirs = new HashMap<>();
            entries.members().forEach(member -> theirs.put(member.nodeId(), member));
            for (Member own : context.table.inBuckets(entries.zone(), entries.requestedBuckets())) {
                Member theirMember = theirs.get(own.nodeId());
                if (theirMember == null ? own.isLive() : own.newerThan(theirMember)) {
                    newer.add(own);
                }
            }
        }
        context.mergeExchanged(from, entries.members());
        if (!newer.isEmpty()) {
            send(from, entries.zone(), 0, newer);
        }
    }

    /**
     * Sends changes in this zone to the other zones at once. Only the first gateway sends; all
     * other nodes discard the changes recorded for this. Digests repair lost messages.
     */
    void pushToOtherZones() {
        Collection<Member> changes = context.drainZoneChanges();
        if (changes.isEmpty() || !context.view().isHeadReader()) {
            return;
        }
        String own = context.self().zone();
        for (String zone : context.view().zones()) {
            List<Member> gateways = context.view().gateways(zone);
            if (!zone.equals(own) && !gateways.isEmpty()) {
                send(gateways.get(0).peer(), own, 0, new ArrayList<>(changes));
            }
        }
    }

    private void sendDigestToNeighbour() {
        List<Peer> neighbours = context.view().neighbours();
        if (!neighbours.isEmpty()) {
            Peer chosen = neighbours.get(context.random.nextInt(neighbours.size()));
            context.network.send(chosen, digest());
        }
    }

    /**
     * Sends a digest to a gateway of a random other zone. Only the first gateway does so, and only
     * in every second round: changes are pushed at once, so repair across zones may be slower, and
     * traffic between zones costs more than traffic inside a zone.
     */
    private void sendDigestToOtherZone() {
        otherZoneRound = !otherZoneRound;
        if (!otherZoneRound || !context.view().isHeadReader()) {
            return;
        }
        List<String> zones = new ArrayList<>(context.view().zones());
        zones.remove(context.self().zone());
        if (zones.isEmpty()) {
            return;
        }
        List<Member> gateways =
                context.view().gateways(zones.get(context.random.nextInt(zones.size())));
        Member chosen = gateways.get(context.random.nextInt(gateways.size()));
        context.network.send(chosen.peer(), digest());
    }

    /**
     * Pings a dead member, so that the two sides of a partition that declared each other dead find
     * each other again once it heals. A node does so with a probability of one divided by the zone
     * size, so that the zone as a whole sends about one such ping per round.
     */
    private void pingRandomDeadMember() {
        if (context.random.nextInt(context.view().zoneSize()) != 0) {
            return;
        }
        List<Member> dead = context.table.deadIn(context.self().zone());
        if (!dead.isEmpty()) {
            prober.ping(dead.get(context.random.nextInt(dead.size())).peer());
        }
    }

    /**
     * Sends a digest to a random seed. This reaches zones whose gateways were all replaced while
     * unreachable, and other members of this node's zone if it knows none.
     */
    private void sendDigestToSeed() {
        if (context.view().isGateway() && !seeds.isEmpty()) {
            context.network.send(seeds.get(context.random.nextInt(seeds.size())), digest());
        }
    }

    private MemberDigest digest() {
        return new MemberDigest(context.sender(), context.table.hashes().zoneHashes());
    }

    private void send(Peer to, String zone, long mask, List<Member> members) {
        for (int from = 0; from < members.size() || from == 0; from += MemberFields.MAX_MEMBERS) {
            int end = Math.min(members.size(), from + MemberFields.MAX_MEMBERS);
            List<Member> chunk = List.copyOf(members.subList(from, end));
            context.network.send(to, new MemberEntries(zone, mask, chunk));
        }
    }
}
