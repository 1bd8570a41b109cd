package dev.zinniaring.membership;

import dev.zinniaring.transport.Peer;

/**
 * A node of the mesh as others see it. Of two views of one node the one with the higher incarnation
 * is newer; at equal incarnations {@code LEFT} and {@code DEAD} override {@code SUSPECT}, which
 * overrides {@code ALIVE}.
 *
 * @param peer how to reach it
 * @param incarnation its life, raised when it refutes a suspicion; starts as the start time in
 *     milliseconds since the epoch
 * @param state what is believed of it
 */
public record Member(Peer peer, long incarnation, MemberState state) {
    /** Returns the member's id. */
    public String nodeId() {
        return peer.nodeId();
    }

    /** Returns the member's availability zone. */
    public String zone() {
        return peer.zone();
    }

    /** Returns whether messages and calls still go to it. */
    public boolean live() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }
}
