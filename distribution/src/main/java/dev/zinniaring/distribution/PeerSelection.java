package dev.zinniaring.distribution;

import dev.zinniaring.membership.Member;
import dev.zinniaring.membership.MemberView;
import dev.zinniaring.transport.Peer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Selects random peers with which a node compares its state. */
final class PeerSelection {
    private PeerSelection() {}

    /** Returns a random neighbour or, if there is none, any live node of the own zone. */
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

    /** Returns a random gateway of another zone. */
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
     * Returns a node from which a starting node requests content: one of the own zone in even
     * attempts, since traffic within a zone is cheap, and one of another zone in odd attempts,
     * since the whole own zone may be starting.
     *
     * @param attempt number of the attempt, from 0
     */
    static Optional<Peer> forBootstrap(MemberView view, RandomGenerator random, int attempt) {
        Optional<Peer> near = inZone(view, random);
        Optional<Peer> far = acrossZones(view, random);
        return attempt % 2 == 0 ? near.or(() -> far) : far.or(() -> near);
    }

    private static <T> T any(List<T> list, RandomGenerator random) {
        return list.get(random.nextInt(list.size()));
    }
}
