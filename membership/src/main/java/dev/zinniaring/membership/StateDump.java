package dev.zinniaring.membership;

import dev.zinniaring.transport.Peer;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Builds the membership section of the state dump. */
final class StateDump {
    private StateDump() {}

    static MembershipState of(MembershipContext context, boolean joined) {
        ViewSnapshot view = context.view();
        Map<String, MembershipState.ZoneState> zones = new TreeMap<>();
        TreeSet<String> names = new TreeSet<>();
        context.table.all().forEach(member -> names.add(member.zone()));
        names.forEach(zone -> zones.put(zone, zone(context, zone)));
        return new MembershipState(
                context.self().nodeId(),
                context.self().life(),
                context.self().incarnation(),
                context.self().state(),
                joined,
                view.isGateway(),
                view.isHeadReader(),
                view.neighbours().stream().map(Peer::nodeId).toList(),
                zones,
                context.health.score(),
                context.updateQueue.size(),
                context.refutations(),
                context.laterLivesOfSelf());
    }

    private static MembershipState.ZoneState zone(MembershipContext context, String zone) {
        return new MembershipState.ZoneState(
                count(context, zone, MemberState.ALIVE),
                count(context, zone, MemberState.SUSPECT),
                count(context, zone, MemberState.DEAD),
                count(context, zone, MemberState.LEFT),
                context.view().gateways(zone).stream().map(Member::nodeId).toList());
    }

    private static int count(MembershipContext context, String zone, MemberState state) {
        return (int)
                context.table.all().stream()
                        .filter(m -> m.zone().equals(zone) && m.state() == state)
                        .count();
    }
}
