package dev.zinniaring.distribution;

import dev.zinniaring.membership.Member;
import dev.zinniaring.membership.MemberView;
import dev.zinniaring.transport.Peer;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Stream;

/** Membership as seen by one node of a simulated mesh. */
record SimView(Member self, Map<String, Member> members) implements MemberView {
    @Override
    public Optional<Member> member(String nodeId) {
        return Optional.ofNullable(members.get(nodeId));
    }

    @Override
    public Collection<Member> liveMembers() {
        return members.values().stream().filter(Member::isLive).toList();
    }

    @Override
    public List<Member> liveIn(String zone) {
        return liveMembers().stream().filter(member -> member.zone().equals(zone)).toList();
    }

    @Override
    public SortedSet<String> zones() {
        return new TreeSet<>(liveMembers().stream().map(Member::zone).toList());
    }

    @Override
    public List<Member> gateways(String zone) {
        return liveIn(zone).stream().sorted(Comparator.comparing(SimView::rank)).limit(2).toList();
    }

    @Override
    public boolean isGateway() {
        return gateways(self.zone()).contains(self);
    }

    @Override
    public boolean isHeadReader() {
        return PushPlan.isFirstGateway(this);
    }

    @Override
    public List<Peer> neighbours() {
        List<Member> ring = liveIn(self.zone()).stream().sorted(byId()).toList();
        Stream<Member> after = ring.stream().filter(m -> byId().compare(m, self) > 0);
        Stream<Member> before = ring.stream().filter(m -> byId().compare(m, self) < 0);
        return Stream.concat(after, before).limit(2).map(Member::peer).toList();
    }

    private static Comparator<Member> byId() {
        return Comparator.comparing(Member::nodeId);
    }

    private static int rank(Member member) {
        return member.nodeId().hashCode() * 0x9E3779B1;
    }
}
