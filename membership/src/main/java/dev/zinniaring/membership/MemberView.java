package dev.zinniaring.membership;

import dev.zinniaring.transport.Peer;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;

/**
 * An immutable snapshot of the members. Gateways and neighbours are derived from the live members
 * alone, so nodes with the same live members select the same ones.
 */
public interface MemberView {
    /** Returns the entry of this node. */
    Member self();

    /** Returns the member with the given id, in any state. */
    Optional<Member> member(String nodeId);

    /** Returns the live members, this node included. */
    Collection<Member> liveMembers();

    /**
     * Returns the live members of an availability zone, including this node if it is in that zone.
     */
    List<Member> liveIn(String zone);

    /** Returns the availability zones that have at least one live member. */
    SortedSet<String> zones();

    /**
     * Returns the nodes of an availability zone that exchange control messages with other zones, in
     * order of preference.
     */
    List<Member> gateways(String zone);

    /** Returns whether this node is a gateway of its availability zone. */
    boolean isGateway();

    /**
     * Returns whether this node is the first gateway of its availability zone, which reads the
     * platform's head on behalf of the zone.
     */
    boolean isHeadReader();

    /**
     * Returns the peers in this node's availability zone to which it keeps links. Their number is
     * bounded independently of the size of the zone.
     */
    List<Peer> neighbours();
}
