package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.membership.MemberView;
import java.time.Duration;

/**
 * Decides when a zone's reader asks the platform for its head. The reader of the first zone by name
 * asks often and pushes what it finds to all zones; the others ask seldom, so that reads and bytes
 * hardly grow with the number of zones. A reader that finds a version itself and is not sent it
 * soon after takes it that the first one cannot bring versions, and asks often until a version is
 * sent to it again.
 */
final class PollPlan {
    private final Clock clock;
    private final Timings timings;
    private long lastNanos;
    private boolean started;
    private boolean alone;

    PollPlan(Clock clock, Timings timings) {
        this.clock = clock;
        this.timings = timings;
    }

    /** Returns whether this node is the reader of the zone whose reader asks often. */
    static boolean isPreferred(MemberView view) {
        return view.self().zone().equals(view.zones().first());
    }

    /** Returns whether to ask now, and if so takes it that this is done. */
    boolean due(boolean preferred) {
        boolean often = preferred || alone;
        Duration period = often ? timings.headPoll() : timings.backupPoll();
        // The caller's timer has the shorter period; half of it covers its jitter.
        Duration atLeast = period.minus(timings.headPoll().dividedBy(2));
        if (started && clock.since(lastNanos).compareTo(atLeast) < 0) {
            return false;
        }
        started = true;
        lastNanos = clock.nanos();
        return true;
    }

    /** Returns how long to wait for a push of a version that this node has found itself. */
    Duration patience(boolean preferred) {
        return preferred || alone ? Duration.ZERO : timings.headPoll().multipliedBy(2);
    }

    /** Notes that a version found by this node was not pushed to it in time. */
    void missed() {
        alone = true;
    }

    /** Notes that another node has sent a version that is new here. */
    void sent() {
        alone = false;
    }
}
