package dev.zinniaring.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ClockReading;
import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RolloutBoardTest {
    private static final RolloutOrder ORDER = new RolloutOrder("s", "v2", Duration.ofSeconds(15));

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final RolloutBoard board = new RolloutBoard(clock, 0.1);
    private final VersionShares shares = new VersionShares(clock, new SplittableRandom(1), true);

    private void answer() {
        shares.answered(ClockReading.of(clock), board.splits());
    }

    /** The next deciding node must not begin a roll-out again that has ended. */
    @Test
    void aRecordedEndHoldsForANodeThatTakesOver() {
        board.order(ORDER, 5, RolloutState.ROLLED_BACK);
        assertThat(board.splits().get("s"))
                .isEqualTo(new VersionSplit("v2", 0, RolloutState.ROLLED_BACK));
        assertThat(board.unrecorded()).isEmpty();
    }

    @Test
    void eachStateIsToBeRecordedOnce() {
        board.order(ORDER, 5, null);
        RolloutBoard.StateChange change = board.unrecorded().iterator().next();
        assertThat(change.state()).isEqualTo(RolloutState.RUNNING);
        board.recorded(change);
        assertThat(board.unrecorded()).isEmpty();
    }

    @Test
    void aLaterOrderReplacesAnEarlierOneAndNotTheOtherWayRound() {
        board.order(ORDER, 5, RolloutState.COMPLETED);
        RolloutOrder next = new RolloutOrder("s", "v3", Duration.ofSeconds(9));
        board.order(next, 7, null);
        board.order(ORDER, 5, null);
        assertThat(board.splits().get("s").target()).isEqualTo("v3");
        board.withdraw("s");
        assertThat(board.splits()).isEmpty();
    }

    /** A node that is cut off must not go on exposing calls to a version that may be bad. */
    @Test
    void aVersionOnTrialGetsNothingOnceTheDecidingNodeIsSilent() {
        board.order(ORDER, 5, null);
        answer();
        assertThat(shares.share("s")).isGreaterThan(0);
        clock.advance(Duration.ofSeconds(2));
        assertThat(shares.share("s")).isZero();
        assertThat(shares.chosen("s")).isNull();
    }

    @Test
    void aCompletedVersionGetsAllCallsAlsoWhileTheDecidingNodeIsSilent() {
        board.order(ORDER, 5, RolloutState.COMPLETED);
        answer();
        clock.advance(Duration.ofSeconds(20));
        assertThat(shares.chosen("s")).isEqualTo("v2");
    }

    @Test
    void outcomesAreCountedByRouteWhileARolloutIsUnderWay() {
        shares.ran("s", "v1", "r", false);
        board.order(ORDER, 5, null);
        answer();
        shares.ran("s", "v1", "r", false);
        shares.ran("s", "v2", "r", true);
        shares.ran("other", "v2", "r", true);
        assertThat(shares.takeOutcomes())
                .isEqualTo(Map.of("s", Map.of("r", new VersionOutcomes(1, 1, 1, 0))));
        assertThat(shares.takeOutcomes()).isEmpty();
    }
}
