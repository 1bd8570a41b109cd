package dev.zinniaring.membership;

import java.util.List;
import java.util.Map;

/**
 * The membership's part of the state dump.
 *
 * @param nodeId this node
 * @param life first incarnation of this process, or a later one if its clock had stepped back
 * @param incarnation present incarnation of this process
 * @param state what this node tells of itself
 * @param joined whether a seed has told of all members
 * @param gateway whether this node is a gateway of its zone
 * @param reader whether this node reads the platform's head for its zone
 * @param neighbours ids of the peers with which this node keeps links
 * @param zones counts by availability zone
 * @param healthScore 0 if this node seems well, up to 4 if it seems slow or cut off
 * @param pendingUpdates updates that are being spread
 * @param refutations suspicions of this node that it refuted
 * @param laterLivesOfSelf messages that told of a later process with this node's id
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
     * What is known of one availability zone.
     *
     * @param alive members that answer
     * @param suspect members under suspicion
     * @param dead members that died and are remembered
     * @param left members that left and are remembered
     * @param gateways ids of the gateways, first choice first
     */
    public record ZoneState(int alive, int suspect, int dead, int left, List<String> gateways) {}
}
