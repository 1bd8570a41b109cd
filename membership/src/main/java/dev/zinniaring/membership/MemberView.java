package dev.zinniaring.membership;

import dev.zinniaring.transport.Peer;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;

/** An immutable picture of the live members. All choices by hash follow from it alone. */
public interface MemberView {
    /** Returns this node. */
    Member self();

    /** Returns the member with an id, in any state. */
    Optional<Member> member(String nodeId);

    /** Returns the live members, this node included. */
    Collection<Member> live();

    /** Returns the live members of an availability zone, this node included where it is there. */
    List<Member> liveIn(String zone);

    /** Returns the availability zones that have a live member. */
    SortedSet<String> zones();

    /**
     * Returns the nodes of a zone that exchange control messages with other zones, first choice
     * first.
     */
    List<Member> gateways(String zone);

    /** Returns whether this node is a gateway of its zone. */
    boolean isGateway();

    /** Returns whether this node reads the platform's head for its zone. */
    boolean isReader();

    /**
     * Returns the peers in this node's own zone with which it keeps links, few however large the
     * zone.
     */
    List<Peer> neighbours();
}
