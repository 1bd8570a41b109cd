package dev.zinniaring.membership;

import dev.zinniaring.transport.Peer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** A copy of the member table with the neighbours and gateways that are derived from it. */
final class ViewSnapshot implements MemberView {
    private final Member self;
    private final Map<String, Member> all;
    private final List<Member> live;
    private final SortedMap<String, List<Member>> liveByZone;
    private final List<Member> othersInZone;
    private final List<Peer> neighbours;
    private final Map<String, List<Member>> gateways = new ConcurrentHashMap<>();

    private ViewSnapshot(Member self, Collection<Member> members) {
        this.self = self;
        this.all = new HashMap<>();
        members.forEach(member -> all.put(member.nodeId(), member));
        this.live =
                members.stream()
                        .filter(Member::isLive)
                        .sorted(Comparator.comparing(Member::nodeId))
                        .toList();
        SortedMap<String, List<Member>> byZone = new TreeMap<>();
        live.forEach(m -> byZone.computeIfAbsent(m.zone(), z -> new ArrayList<>()).add(m));
        byZone.replaceAll((zone, zoneMembers) -> List.copyOf(zoneMembers));
        this.liveByZone = byZone;
        List<Member> own = liveIn(self.zone());
        this.othersInZone = own.stream().filter(m -> !m.nodeId().equals(self.nodeId())).toList();
        this.neighbours = MemberSelection.neighbours(self, own);
    }

    static ViewSnapshot of(Member self, Collection<Member> members) {
        return new ViewSnapshot(self, members);
    }

    @Override
    public Member self() {
        return self;
    }

    @Override
    public Optional<Member> member(String nodeId) {
        return Optional.ofNullable(all.get(nodeId));
    }

    @Override
    public Collection<Member> liveMembers() {
        return live;
    }

    @Override
    public List<Member> liveIn(String zone) {
        return liveByZone.getOrDefault(zone, List.of());
    }

    @Override
    public SortedSet<String> zones() {
        return new TreeSet<>(liveByZone.keySet());
    }

    @Override
    public List<Member> gateways(String zone) {
        return gateways.computeIfAbsent(zone, z -> MemberSelection.gateways(z, liveIn(z)));
    }

    @Override
    public boolean isGateway() {
        return gateways(self.zone()).stream().anyMatch(m -> m.nodeId().equals(self.nodeId()));
    }

    @Override
    public boolean isHeadReader() {
        List<Member> own = gateways(self.zone());
        return !own.isEmpty() && own.get(0).nodeId().equals(self.nodeId());
    }

    @Override
    public List<Peer> neighbours() {
        return neighbours;
    }

    /** Returns the live members of this node's zone except this node, sorted by id. */
    List<Member> othersInZone() {
        return othersInZone;
    }

    /** Returns the number of live members of this node's zone, including this node. */
    int zoneSize() {
        return othersInZone.size() + 1;
    }
}
