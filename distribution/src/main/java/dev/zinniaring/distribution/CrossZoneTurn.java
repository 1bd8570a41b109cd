package dev.zinniaring.distribution;

import dev.zinniaring.membership.MemberView;

/**
 * Decides in which rounds of digests a node also compares itself with another zone. Only the first
 * gateway of a zone does, in every second round: what is new is pushed at once, so that repair
 * across zones may be slower, and bytes across zones cost more.
 */
final class CrossZoneTurn {
    private static final int ROUNDS = 2;

    private int round;

    /** Begins the next round and returns whether it includes another zone. */
    boolean next(MemberView view) {
        round = (round + 1) % ROUNDS;
        return round == 0 && PushPlan.isFirstGateway(view);
    }
}
