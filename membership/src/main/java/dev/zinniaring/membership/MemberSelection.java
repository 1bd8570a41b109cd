package dev.zinniaring.membership;

import dev.zinniaring.transport.Peer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Selects gateways and neighbours by hashing node ids, so that every node with the same list of
 * live members makes the same selection without coordination.
 */
final class MemberSelection {
    private static final int GATEWAYS = 2;
    private static final int EXTRA_NEIGHBOURS = 3;

    private MemberSelection() {}

    /** Returns the gateways of a zone by rendezvous hashing, in order of preference. */
    static List<Member> gateways(String zone, List<Member> live) {
        return highestScored("gateway/" + zone, live, GATEWAYS);
    }

    /**
     * Returns the neighbours of a node: its successor on the hash ring, which keeps the link graph
     * connected, and the other members with the highest rendezvous scores.
     */
    static List<Peer> neighbours(Member self, List<Member> live) {
        List<Member> others = new ArrayList<>(live);
        others.removeIf(member -> member.nodeId().equals(self.nodeId()));
        List<Peer> neighbours = new ArrayList<>();
        successor(self, others).ifPresent(next -> neighbours.add(next.peer()));
        others.removeIf(member -> neighbours.contains(member.peer()));
        highestScored("neighbour/" + self.nodeId(), others, EXTRA_NEIGHBOURS)
                .forEach(member -> neighbours.add(member.peer()));
        return List.copyOf(neighbours);
    }

    private static Optional<Member> successor(Member self, List<Member> others) {
        long own = MemberHashes.hash(self.nodeId());
        Comparator<Member> clockwise =
                (a, b) ->
                        Long.compareUnsigned(
                                MemberHashes.hash(a.nodeId()) - own,
                                MemberHashes.hash(b.nodeId()) - own);
        return others.stream().min(clockwise.thenComparing(Member::nodeId));
    }

    private static List<Member> highestScored(String key, List<Member> live, int count) {
        record Scored(long score, Member member) {}
        return live.stream()
                .map(m -> new Scored(MemberHashes.hash(key + "/" + m.nodeId()), m))
                .sorted(
                        Comparator.comparingLong(Scored::score)
                                .reversed()
                                .thenComparing(scored -> scored.member().nodeId()))
                .limit(count)
                .map(Scored::member)
                .toList();
    }
}
