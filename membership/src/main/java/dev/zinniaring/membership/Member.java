package dev.zinniaring.membership;

import dev.zinniaring.transport.Peer;

/**
 * One version of a node's membership entry. Of two entries for the same node, the one with the
 * higher life is newer, then the one with the higher incarnation. At equal incarnations {@code
 * LEFT} overrides {@code DEAD}, which overrides {@code SUSPECT}, which overrides {@code ALIVE}.
 *
 * @param peer identity and control address of the node
 * @param incarnation version number of the node's own entry; starts at the process start time in
 *     milliseconds since the epoch and is raised whenever the node refutes a suspicion
 * @param state last known state of the node
 * @param life first incarnation of the process, which identifies that process; a restarted process
 *     has a higher one
 */
public record Member(Peer peer, long incarnation, MemberState state, long life) {
    /** Creates an entry of a process that has not refuted any suspicion yet. */
    public Member(Peer peer, long incarnation, MemberState state) {
        this(peer, incarnation, state, incarnation);
    }

    /** Returns the id of the node. */
    public String nodeId() {
        return peer.nodeId();
    }

    /** Returns the availability zone of the node. */
    public String zone() {
        return peer.zone();
    }

    /** Returns whether the node still receives messages and calls (alive or suspect). */
    public boolean isLive() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }

    /** Returns whether this entry replaces another entry of the same node. */
    boolean newerThan(Member other) {
        if (life != other.life) {
            return life > other.life;
        }
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return precedence() > other.precedence();
    }

    /** Returns whether another entry describes the same process. */
    boolean sameLife(Member other) {
        return nodeId().equals(other.nodeId()) && life == other.life;
    }

    /** Returns a copy with another state. */
    Member with(MemberState newState) {
        return new Member(peer, incarnation, newState, life);
    }

    /** Returns an alive entry of this process whose incarnation exceeds the refuted one. */
    Member refuting(long refutedIncarnation) {
        return new Member(peer, refutedIncarnation + 1, MemberState.ALIVE, life);
    }

    private int precedence() {
        return switch (state) {
            case ALIVE -> 0;
            case SUSPECT -> 1;
            case DEAD -> 2;
            case LEFT -> 3;
        };
    }
}
