package dev.zinniaring.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays good and bad versions. Bad ones fail half of their requests, from the start or later, on
 * all routes or on one.
 */
class RolloutDeciderTest {
    private static final double USUAL = 0.01;
    private static final double BAD = 0.45;
    private static final int EXPOSURE_SLACK = 50;
    private static final int MAX_BAD_ANSWERS = 50;

    private static void assertRolledBackInTime(RolloutPlay play) {
        assertThat(play.state).isEqualTo(RolloutState.ROLLED_BACK);
        assertThat(play.badCalls).isLessThan(MAX_BAD_ANSWERS);
        assertThat(play.targetCalls)
                .isLessThanOrEqualTo(
                        (int) (RolloutPlay.EXPOSURE_SHARE * play.calls) + EXPOSURE_SLACK);
    }

    @ParameterizedTest
    @ValueSource(doubles = {40, 150, 700})
    void aGoodVersionIsCompletedWithinItsTime(double callsPerSecond) {
        RolloutPlay play =
                new RolloutPlay(callsPerSecond, 1)
                        .run((route, since) -> USUAL, (route, since) -> USUAL);
        assertThat(play.state).isEqualTo(RolloutState.COMPLETED);
        assertThat(play.endedAfter).isLessThan(RolloutPlay.TIME.minusSeconds(1));
    }

    @ParameterizedTest
    @ValueSource(doubles = {40, 150, 700})
    void aVersionThatIsBadFromTheStartIsRolledBack(double callsPerSecond) {
        assertRolledBackInTime(
                new RolloutPlay(callsPerSecond, 2)
                        .run((route, since) -> BAD, (route, since) -> USUAL));
    }

    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 5_000})
    void aVersionThatTurnsBadLaterIsRolledBack(long afterMillis) {
        Duration after = Duration.ofMillis(afterMillis);
        assertRolledBackInTime(
                new RolloutPlay(150, 3)
                        .run(
                                (route, since) -> since.compareTo(after) < 0 ? USUAL : BAD,
                                (route, since) -> USUAL));
    }

    @Test
    void aVersionThatIsBadOnOneRouteIsRolledBack() {
        assertRolledBackInTime(
                new RolloutPlay(150, 4)
                        .run(
                                (route, since) -> route.equals("charge") ? BAD : USUAL,
                                (route, since) -> USUAL));
    }

    /** A database that both versions use may fail for some seconds. */
    @Test
    void aVersionThatIsNoWorseThanTheOthersInABadMinuteIsNotRolledBack() {
        RolloutPlay play =
                new RolloutPlay(150, 5)
                        .run(
                                (route, since) -> since.toSeconds() < 3 ? 0.5 : USUAL,
                                (route, since) -> since.toSeconds() < 6 ? 0.5 : USUAL);
        assertThat(play.state).isEqualTo(RolloutState.COMPLETED);
    }

    @Test
    void fewGoodVersionsAreRolledBackAndNoBadOneIsCompleted() {
        long wronglyRolledBack =
                LongStream.range(0, 300)
                        .mapToObj(seed -> new RolloutPlay(150, seed))
                        .map(play -> play.run((route, since) -> USUAL, (route, since) -> USUAL))
                        .filter(play -> play.state == RolloutState.ROLLED_BACK)
                        .count();
        assertThat(wronglyRolledBack).isLessThanOrEqualTo(3);
        assertThat(
                        LongStream.range(0, 300)
                                .mapToObj(seed -> new RolloutPlay(150, seed))
                                .map(play -> play.run((r, since) -> BAD, (r, since) -> USUAL))
                                .filter(play -> play.state != RolloutState.ROLLED_BACK)
                                .count())
                .isZero();
    }

    @Test
    void aRolloutWhoseServersNeverComeIsRolledBack() {
        RolloutPlay play =
                new RolloutPlay(0, 6).run((route, since) -> USUAL, (route, since) -> USUAL);
        assertThat(play.state).isEqualTo(RolloutState.ROLLED_BACK);
        assertThat(play.endedAfter).isLessThan(RolloutPlay.TIME);
    }
}
