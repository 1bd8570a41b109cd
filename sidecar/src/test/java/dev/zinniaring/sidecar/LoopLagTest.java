package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LoopLagTest {
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final List<Long> samplesNanos = new ArrayList<>();
    private final LoopLag lag = new LoopLag(clock, Duration.ofMillis(100), samplesNanos::add);

    private void sampleAfter(int millis) {
        clock.advance(Duration.ofMillis(millis));
        lag.sample();
    }

    @Test
    void theLagIsTheDelayOfThePeriodicTask() {
        sampleAfter(100);
        assertThat(lag.millis()).isZero();
        sampleAfter(340);
        assertThat(lag.millis()).isEqualTo(240);
        assertThat(samplesNanos).containsExactly(0L, 240_000_000L);
    }

    @Test
    void aLoopIsBehindUntilItHasCaughtUp() {
        sampleAfter(500);
        assertThat(lag.behind()).isFalse();
        sampleAfter(700);
        assertThat(lag.behind()).isTrue();
        sampleAfter(300);
        assertThat(lag.behind()).isTrue();
        sampleAfter(120);
        assertThat(lag.behind()).isFalse();
    }
}
