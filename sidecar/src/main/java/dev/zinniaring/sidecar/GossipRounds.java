package dev.zinniaring.sidecar;

import java.util.EnumSet;
import java.util.Set;

/**
 * Decides which peers a node exchanges digests with in each gossip round. It answers a reader that
 * falls silent: every round asks the zone's reader, so that its silence shows within one round and
 * the time-out of a request.
 */
final class GossipRounds {
    /** Every third round also asks a random node of the zone. */
    private static final int ROUNDS_PER_ZONE_PEER = 3;

    /** Every eighth round also asks a random node of another zone. */
    private static final int ROUNDS_PER_REMOTE_PEER = 8;

    private int round;

    /** A peer to exchange digests with. */
    enum Target {
        /** The node that watches the store for the zone. */
        READER,
        /** A random node of the zone. */
        ZONE_PEER,
        /** A random node of another zone. */
        REMOTE_PEER
    }

    /**
     * Returns the peers of the next round.
     *
     * @param reader whether this node is its zone's reader
     */
    Set<Target> next(boolean reader) {
        round++;
        Set<Target> targets = EnumSet.noneOf(Target.class);
        if (!reader) {
            targets.add(Target.READER);
        }
        if (round % ROUNDS_PER_REMOTE_PEER == 0) {
            targets.add(Target.REMOTE_PEER);
        } else if (round % ROUNDS_PER_ZONE_PEER == 0) {
            targets.add(Target.ZONE_PEER);
        }
        return targets;
    }
}
