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
 * To whom a node sends a version that is new to it: its neighbours, and one gateway of each other
 * availability zone if the version began here or came from within the own zone to its first
 * gateway. What comes from another zone was sent to all zones by that zone.
 *
 * @param peers the receivers
 * @param zones all availability zones to which the version is sent after this
 */
record PushPlan(List<Peer> peers, SortedSet<String> zones) {
    /** Plans for a version that this node got recorded itself. */
    static PushPlan fromHere(MemberView view) {
        return of(view, null, new TreeSet<>(), true);
    }

    /**
     * Plans for a version that a peer has sent.
     *
     * @param served zones to which it was sent before
     */
    static PushPlan from(MemberView view, Peer source, SortedSet<String> served) {
        boolean ownZone = source.zone().equals(view.self().zone());
        return of(view, source, served, ownZone && isFirstGateway(view));
    }

    /** Returns whether this node is the gateway that sends changes of its zone to other zones. */
    static boolean isFirstGateway(MemberView view) {
        List<Member> gateways = view.gateways(view.self().zone());
        return !gateways.isEmpty() && gateways.get(0).nodeId().equals(view.self().nodeId());
    }

    /** Returns the first gateway of each other zone that is not in {@code served}. */
    static List<Peer> otherZones(MemberView view, SortedSet<String> served) {
        List<Peer> peers = new ArrayList<>();
        for (String zone : view.zones()) {
            List<Member> gateways = view.gateways(zone);
            boolean wanted = !zone.equals(view.self().zone()) && !served.contains(zone);
            if (wanted && !gateways.isEmpty()) {
                peers.add(gateways.get(0).peer());
            }
        }
        return peers;
    }

    private static PushPlan of(
            MemberView view, @Nullable Peer source, SortedSet<String> served, boolean acrossZones) {
        List<Peer> peers = new ArrayList<>(view.neighbours());
        if (source != null) {
            peers.removeIf(peer -> peer.nodeId().equals(source.nodeId()));
        }
        SortedSet<String> zones = new TreeSet<>(served);
        zones.add(view.self().zone());
        if (acrossZones) {
            List<Peer> gateways = otherZones(view, zones);
            peers.addAll(gateways);
            gateways.forEach(peer -> zones.add(peer.zone()));
        }
        return new PushPlan(List.copyOf(peers), zones);
    }
}
