package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.membership.MemberView;
import java.time.Duration;

/**
 * Decides when the reader of a zone polls the platform for its head. The reader of the first zone
 * by name polls frequently and pushes new versions to all zones. The readers of other zones poll
 * rarely, so that the number of reads and the traffic hardly grow with the number of zones. If such
 * a reader finds a version that is not pushed to it in time, it assumes that the first zone cannot
 * distribute versions, and polls frequently until another node sends it a version again.
 */
final class PollSchedule {
    private final Clock clock;
    private final DistributionTimings timings;
    private long lastNanos;
    private boolean started;
    private boolean pollsFrequently;

    PollSchedule(Clock clock, DistributionTimings timings) {
        this.clock = clock;
        this.timings = timings;
    }

    /** Returns whether this node belongs to the zone whose reader polls frequently. */
    static boolean isPreferred(MemberView view) {
        return view.self().zone().equals(view.zones().first());
    }

    /** Returns whether a poll is due, and if so starts the next interval. */
    boolean due(boolean preferred) {
        boolean frequent = preferred || pollsFrequently;
        Duration period = frequent ? timings.headPoll() : timings.backupPoll();
        // The caller's timer has the shorter period; half of that period is tolerance for its
        // jitter.
        Duration atLeast = period.minus(timings.headPoll().dividedBy(2));
        if (started && clock.since(lastNanos).compareTo(atLeast) < 0) {
            return false;
        }
        started = true;
        lastNanos = clock.nanos();
        return true;
    }

    /**
     * Returns how long to wait for the push of a version that this node has found on the platform.
     */
    Duration pushWait(boolean preferred) {
        return preferred || pollsFrequently ? Duration.ZERO : timings.headPoll().multipliedBy(2);
    }

    /** Records that a version found by this node was not pushed to it in time. */
    void onPushMissed() {
        pollsFrequently = true;
    }

    /** Records that another node has sent a version that is new to this node. */
    void onVersionReceived() {
        pollsFrequently = false;
    }
}
