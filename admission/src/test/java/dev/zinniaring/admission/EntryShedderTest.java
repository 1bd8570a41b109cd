package dev.zinniaring.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against shedding at the entry node that hits admitted ranks, takes all calls of a rank, or
 * does not end after the pressure does.
 */
class EntryShedderTest {
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final EntryShedder shedder = new EntryShedder(clock, new SplittableRandom(5));

    @Test
    void withoutPressureNothingIsShed() {
        report(100, AdmissionController.NO_PRESSURE);
        assertThat(shedOf(1_000, 9)).isZero();
        assertThat(shedder.isShedding(9)).isFalse();
    }

    @Test
    void underPressureMostButNotAllLessUrgentCallsAreShed() {
        report(500, 5);
        assertThat(shedOf(1_000, 5)).isZero();
        assertThat(shedOf(1_000, 9)).isBetween(900, 990);
        assertThat(shedder.isShedding(9)).isTrue();
        assertThat(shedder.isShedding(5)).isFalse();
    }

    @Test
    void aSingleReportShedsOnlyAFewPercent() {
        clock.advance(Duration.ofSeconds(10));
        shedder.recordPressure(5);
        assertThat(shedOf(1_000, 9)).isBetween(10, 100);
    }

    @Test
    void reportsWithoutPressureEndTheSheddingWithinAQuarterOfASecond() {
        report(500, 5);
        report(25, AdmissionController.NO_PRESSURE);
        assertThat(shedOf(1_000, 9)).isZero();
    }

    @Test
    void missingReportsEndTheSheddingAsWell() {
        report(500, 5);
        clock.advance(Duration.ofMillis(550));
        assertThat(shedOf(1_000, 9)).isZero();
    }

    private void report(int times, int pressure) {
        for (int report = 0; report < times; report++) {
            clock.advance(Duration.ofMillis(10));
            shedder.recordPressure(pressure);
        }
    }

    private int shedOf(int calls, int rankOrder) {
        int shed = 0;
        for (int call = 0; call < calls; call++) {
            shed += shedder.shouldShed(rankOrder) ? 1 : 0;
        }
        return shed;
    }
}
