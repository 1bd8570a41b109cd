package dev.zinniaring.membership;

import dev.zinniaring.transport.Peer;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Builds the state record. */
final class StateDump {
    private StateDump() {}

    static MembershipState of(Core core, boolean joined) {
        ViewSnapshot view = core.view();
        Map<String, MembershipState.ZoneState> zones = new TreeMap<>();
        TreeSet<String> names = new TreeSet<>();
        core.table.all().forEach(member -> names.add(member.zone()));
        names.forEach(zone -> zones.put(zone, zone(core, zone)));
        return new MembershipState(
                core.self().nodeId(),
                core.self().life(),
                core.self().incarnation(),
                core.self().state(),
                joined,
                view.isGateway(),
                view.isReader(),
                view.neighbours().stream().map(Peer::nodeId).toList(),
                zones,
                core.health.score(),
                core.piggyback.size(),
                core.refutations(),
                core.laterLivesOfSelf());
    }

    private static MembershipState.ZoneState zone(Core core, String zone) {
        return new MembershipState.ZoneState(
                count(core, zone, MemberState.ALIVE),
                count(core, zone, MemberState.SUSPECT),
                count(core, zone, MemberState.DEAD),
                count(core, zone, MemberState.LEFT),
                core.view().gateways(zone).stream().map(Member::nodeId).toList());
    }

    private static int count(Core core, String zone, MemberState state) {
        return (int)
                core.table.all().stream()
                        .filter(m -> m.zone().equals(zone) && m.state() == state)
                        .count();
    }
}
