package dev.zinniaring.membership;

import java.util.List;
import java.util.Map;

/**
 * The membership section of the state dump.
 *
 * @param nodeId id of this node
 * @param life first incarnation of this process, or a higher one if the VM's clock had stepped back
 * @param incarnation current incarnation of this process
 * @param state state that this node announces for itself
 * @param joined whether a seed has sent the complete member list, or there is no seed to ask
 * @param gateway whether this node is a gateway of its availability zone
 * @param reader whether this node reads the platform's head on behalf of its zone
 * @param neighbours ids of the peers to which this node keeps links
 * @param zones member counts and gateways by availability zone
 * @param healthScore local health: 0 is healthy, up to 4 if this node appears slow or cut off
 * @param pendingUpdates updates still being disseminated
 * @param refutations number of suspicions that this node has refuted about itself
 * @param laterLivesOfSelf number of received updates about a later process with this node's id
 */
public record MembershipState(
        String nodeId,
        long life,
        long incarnation,
        MemberState state,
        boolean joined,
        boolean gateway,
        boolean reader,
        List<String> neighbours,
        Map<String, ZoneState> zones,
        int healthScore,
        int pendingUpdates,
        long refutations,
        long laterLivesOfSelf) {
    /**
     * Members of one availability zone by state.
     *
     * @param alive members that answer probes
     * @param suspect members under suspicion
     * @param dead members declared dead whose entry is still retained
     * @param left members that left whose entry is still retained
     * @param gateways ids of the gateways, in order of preference
     */
    public record ZoneState(int alive, int suspect, int dead, int left, List<String> gateways) {}
}
