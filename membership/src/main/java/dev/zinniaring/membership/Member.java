package dev.zinniaring.membership;

import dev.zinniaring.transport.Peer;

/**
 * A node of the mesh as others see it. Of two views of one node the one with the later life is
 * newer, then the one with the higher incarnation; at equal incarnations {@code LEFT} overrides
 * {@code DEAD}, which overrides {@code SUSPECT}, which overrides {@code ALIVE}.
 *
 * @param peer how to reach it
 * @param incarnation its life, raised when it refutes a suspicion; starts as the start time in
 *     milliseconds since the epoch
 * @param state what is believed of it
 * @param life its first incarnation, which names the life of the process; a restarted process has a
 *     later one
 */
public record Member(Peer peer, long incarnation, MemberState state, long life) {
    /** Creates a member that has refuted nothing yet. */
    public Member(Peer peer, long incarnation, MemberState state) {
        this(peer, incarnation, state, incarnation);
    }

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

    /** Returns whether this view of the node replaces another one. */
    boolean newerThan(Member other) {
        if (life != other.life) {
            return life > other.life;
        }
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return strength() > other.strength();
    }

    /** Returns whether another view is of the same life. */
    boolean sameLife(Member other) {
        return nodeId().equals(other.nodeId()) && life == other.life;
    }

    /** Returns this life with another state. */
    Member with(MemberState newState) {
        return new Member(peer, incarnation, newState, life);
    }

    /** Returns this life, alive, with a higher incarnation than the one that is refuted. */
    Member refuting(long refutedIncarnation) {
        return new Member(peer, refutedIncarnation + 1, MemberState.ALIVE, life);
    }

    private int strength() {
        return switch (state) {
            case ALIVE -> 0;
            case SUSPECT -> 1;
            case DEAD -> 2;
            case LEFT -> 3;
        };
    }
}
