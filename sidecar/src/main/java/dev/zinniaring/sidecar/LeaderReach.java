package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.Clock;
import java.time.Duration;

/**
 * Decides whether a leader should give up the lead since no other node reaches it. It answers a
 * node that is cut off from the others but not from the store: it could renew its row for ever, and
 * the others would be without a leader.
 */
final class LeaderReach {
    /** Silence of all others after which the lead is given up: six of their reports. */
    private static final Duration MAX_SILENCE = Duration.ofSeconds(3);

    /** Time for which the node then leaves the lead to others. */
    private static final Duration PAUSE = Duration.ofSeconds(10);

    private final Clock clock;
    private long heardNanos;
    private long candidateFromNanos;

    LeaderReach(Clock clock) {
        this.clock = clock;
        this.heardNanos = clock.nanos();
        this.candidateFromNanos = clock.nanos();
    }

    /** Records that the lead was taken, or that another node reported to it. */
    void heard() {
        heardNanos = clock.nanos();
    }

    /**
     * Returns whether to give up the lead; the node is then no candidate for a while.
     *
     * @param nodes number of nodes, this one included
     */
    boolean shouldGiveUp(int nodes) {
        if (nodes <= 1 || clock.since(heardNanos).compareTo(MAX_SILENCE) <= 0) {
            return false;
        }
        candidateFromNanos = clock.nanos() + PAUSE.toNanos();
        return true;
    }

    /** Returns whether the node may take the lead. */
    boolean mayLead() {
        return clock.nanos() - candidateFromNanos >= 0;
    }
}
