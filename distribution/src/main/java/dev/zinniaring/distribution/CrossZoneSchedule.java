package dev.zinniaring.distribution;

import dev.zinniaring.membership.MemberView;

/**
 * Decides in which digest rounds a node also compares its state with a node of another zone. Only
 * the first gateway of a zone does so, in every second round: new state is pushed immediately, so
 * repair across zones may be slower, and traffic between zones is more expensive.
 */
final class CrossZoneSchedule {
    private static final int ROUNDS_PER_COMPARISON = 2;

    private int round;

    /** Begins the next round and returns whether it includes another zone. */
    boolean next(MemberView view) {
        round = (round + 1) % ROUNDS_PER_COMPARISON;
        return round == 0 && PushPlan.isFirstGateway(view);
    }
}
