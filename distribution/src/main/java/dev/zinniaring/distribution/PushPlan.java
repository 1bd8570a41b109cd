package dev.zinniaring.distribution;

import dev.zinniaring.membership.Member;
import dev.zinniaring.membership.MemberView;
import dev.zinniaring.transport.Peer;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Determines to which peers a node sends a version that is new to it. These are its neighbours and,
 * in two cases, one gateway of each other availability zone: if this node recorded the version, or
 * if it is the first gateway of its zone and received the version from a node of that zone. A
 * version received from another zone is not sent across zones again, because that zone has sent it
 * to all zones.
 *
 * @param peers the receivers
 * @param zones all availability zones to which the version has been sent, including by this push
 */
record PushPlan(List<Peer> peers, SortedSet<String> zones) {
    /** Returns the plan for a version that this node has recorded on a majority of seeds. */
    static PushPlan fromHere(MemberView view) {
        return of(view, null, new TreeSet<>(), true);
    }

    /**
     * Returns the plan for a version received from a peer.
     *
     * @param alreadySent zones to which the version has already been sent
     */
    static PushPlan from(MemberView view, Peer source, SortedSet<String> alreadySent) {
        boolean ownZone = source.zone().equals(view.self().zone());
        return of(view, source, alreadySent, ownZone && isFirstGateway(view));
    }

    /**
     * Returns whether this node is the gateway that sends the changes of its zone to other zones.
     */
    static boolean isFirstGateway(MemberView view) {
        List<Member> gateways = view.gateways(view.self().zone());
        return !gateways.isEmpty() && gateways.get(0).nodeId().equals(view.self().nodeId());
    }

    /** Returns the first gateway of each other zone that is not in {@code alreadySent}. */
    static List<Peer> otherZones(MemberView view, SortedSet<String> alreadySent) {
        List<Peer> peers = new ArrayList<>();
        for (String zone : view.zones()) {
            List<Member> gateways = view.gateways(zone);
            boolean pushed = !zone.equals(view.self().zone()) && !alreadySent.contains(zone);
            if (pushed && !gateways.isEmpty()) {
                peers.add(gateways.get(0).peer());
            }
        }
        return peers;
    }

    private static PushPlan of(
            MemberView view,
            @Nullable Peer source,
            SortedSet<String> alreadySent,
            boolean acrossZones) {
        List<Peer> peers = new ArrayList<>(view.neighbours());
        if (source != null) {
            peers.removeIf(peer -> peer.nodeId().equals(source.nodeId()));
        }
        SortedSet<String> zones = new TreeSet<>(alreadySent);
        zones.add(view.self().zone());
        if (acrossZones) {
            List<Peer> gateways = otherZones(view, zones);
            peers.addAll(gateways);
            gateways.forEach(peer -> zones.add(peer.zone()));
        }
        return new PushPlan(List.copyOf(peers), zones);
    }
}
