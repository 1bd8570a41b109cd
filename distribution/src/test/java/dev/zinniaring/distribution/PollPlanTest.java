package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class PollPlanTest {
    private static final Duration TICK = Duration.ofMillis(500);
    private static final int TICKS = 80;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final PollPlan plan = new PollPlan(clock, Timings.standard());

    // Guards against reads of the platform that grow with the number of zones.
    @Test
    void otherZonesAskOnceInEightTimesOfTheFirst() {
        assertThat(polls(true)).isEqualTo(TICKS);
        assertThat(polls(false)).isEqualTo(TICKS / 8);
    }

    // Guards against changes that stay late for as long as the first zone is cut off.
    @Test
    void readerThatWasNotSentAVersionAsksOftenUntilItIsSentOne() {
        assertThat(plan.patience(false)).isPositive();
        plan.missed();
        assertThat(polls(false)).isEqualTo(TICKS);
        assertThat(plan.patience(false)).isZero();
        plan.sent();
        assertThat(polls(false)).isEqualTo(TICKS / 8);
    }

    private int polls(boolean preferred) {
        int polls = 0;
        for (int i = 0; i < TICKS; i++) {
            polls += plan.due(preferred) ? 1 : 0;
            clock.advance(TICK);
        }
        return polls;
    }
}
