package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class PollScheduleTest {
    private static final Duration TICK = Duration.ofMillis(500);
    private static final int TICKS = 80;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final PollSchedule schedule = new PollSchedule(clock, DistributionTimings.defaults());

    // Guards against platform reads that grow with the number of zones.
    @Test
    void otherZonesPollAtAnEighthOfTheRateOfTheFirst() {
        assertThat(countPolls(true)).isEqualTo(TICKS);
        assertThat(countPolls(false)).isEqualTo(TICKS / 8);
    }

    // Guards against changes that stay delayed for as long as the first zone is unreachable.
    @Test
    void readerPollsFrequentlyAfterAMissedPushUntilItReceivesAVersion() {
        assertThat(schedule.pushWait(false)).isPositive();
        schedule.onPushMissed();
        assertThat(countPolls(false)).isEqualTo(TICKS);
        assertThat(schedule.pushWait(false)).isZero();
        schedule.onVersionReceived();
        assertThat(countPolls(false)).isEqualTo(TICKS / 8);
    }

    private int countPolls(boolean preferred) {
        int polls = 0;
        for (int i = 0; i < TICKS; i++) {
            polls += schedule.due(preferred) ? 1 : 0;
            clock.advance(TICK);
        }
        return polls;
    }
}
