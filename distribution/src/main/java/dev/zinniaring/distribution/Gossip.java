package dev.zinniaring.distribution;

import dev.zinniaring.membership.Member;
import dev.zinniaring.membership.MemberView;
import dev.zinniaring.transport.Peer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Random choice of the peers with which a node compares what it holds. */
final class Gossip {
    private Gossip() {}

    /** Returns a neighbour, or else any live node of the own zone. */
    static Optional<Peer> inZone(MemberView view, RandomGenerator random) {
        if (!view.neighbours().isEmpty()) {
            return Optional.of(any(view.neighbours(), random));
        }
        List<Peer> others =
                view.liveIn(view.self().zone()).stream()
                        .filter(member -> !member.nodeId().equals(view.self().nodeId()))
                        .map(Member::peer)
                        .toList();
        return others.isEmpty() ? Optional.empty() : Optional.of(any(others, random));
    }

    /** Returns a gateway of another zone. */
    static Optional<Peer> acrossZones(MemberView view, RandomGenerator random) {
        List<String> zones = new ArrayList<>(view.zones());
        zones.remove(view.self().zone());
        if (zones.isEmpty()) {
            return Optional.empty();
        }
        List<Member> gateways = view.gateways(any(zones, random));
        return gateways.isEmpty() ? Optional.empty() : Optional.of(any(gateways, random).peer());
    }

    /**
     * Returns a node to ask for content while starting: in the own zone first, where bytes are
     * cheap, and across zones in every second attempt, since the whole zone may be starting.
     *
     * @param attempt counts from 0
     */
    static Optional<Peer> forStart(MemberView view, RandomGenerator random, int attempt) {
        Optional<Peer> near = inZone(view, random);
        Optional<Peer> far = acrossZones(view, random);
        return attempt % 2 == 0 ? near.or(() -> far) : far.or(() -> near);
    }

    private static <T> T any(List<T> list, RandomGenerator random) {
        return list.get(random.nextInt(list.size()));
    }
}
