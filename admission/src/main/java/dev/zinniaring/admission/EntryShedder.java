package dev.zinniaring.admission;

import dev.zinniaring.kernel.Clock;
import java.util.random.RandomGenerator;

/**
 * Sheds calls at the entry node that their pool would shed anyway. One for each pool. It learns
 * from the pressure that answers report, and forgets it within a second.
 */
public final class EntryShedder {
    private final Clock clock;
    private final RandomGenerator random;

    /** Creates a shedder; {@code random} must be safe for the threads that call it. */
    public EntryShedder(Clock clock, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
    }

    /**
     * Notes the pressure that came with an answer.
     *
     * @param pressure order of the least urgent rank that the answering node still admits
     */
    public void reported(int pressure) {}

    /** Returns whether to shed a call of the given rank here. */
    public boolean sheds(int rankOrder) {
        return false;
    }

    /** Returns whether the pool sheds calls of the given rank at present. */
    public boolean shedding(int rankOrder) {
        return false;
    }
}
