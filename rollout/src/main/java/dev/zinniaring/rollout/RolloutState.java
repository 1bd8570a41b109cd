package dev.zinniaring.rollout;

/** Progress of a roll-out, as told to the operators. */
public enum RolloutState {
    /** The new version gets a part of the calls. */
    RUNNING,
    /** The new version gets all calls; the servers of other versions may be stopped. */
    COMPLETED,
    /** The new version gets no calls; its servers may be stopped. */
    ROLLED_BACK;

    /** Returns whether the roll-out is over. */
    public boolean ended() {
        return this != RUNNING;
    }
}
