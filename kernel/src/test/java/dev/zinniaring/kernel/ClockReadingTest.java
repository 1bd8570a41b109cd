package dev.zinniaring.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class ClockReadingTest {
    /** A clock whose two parts move on their own. */
    private static final class TwoClocks implements Clock {
        private long wallMillis = 1_000_000;
        private long monotonicMillis;

        @Override
        public Instant now() {
            return Instant.ofEpochMilli(wallMillis);
        }

        @Override
        public long nanos() {
            return monotonicMillis * 1_000_000L;
        }
    }

    private final TwoClocks clock = new TwoClocks();
    private final ClockReading start = ClockReading.of(clock);

    @Test
    void ageIsTheTimeThatHasPassedOnBothClocks() {
        clock.wallMillis += 1_010;
        clock.monotonicMillis += 1_000;
        assertThat(start.ageMillis(clock)).isEqualTo(1_010);
    }

    /** The monotonic clock stands still while a VM is suspended. */
    @Test
    void ageIsUnknownAfterASuspension() {
        clock.wallMillis += 4_000;
        clock.monotonicMillis += 10;
        assertThat(start.ageMillis(clock)).isEqualTo(ClockReading.UNKNOWN_MILLIS);
    }

    @Test
    void ageIsUnknownAfterTheTimeOfDayWasSetBack() {
        clock.wallMillis -= 2_000;
        clock.monotonicMillis += 100;
        assertThat(start.ageMillis(clock)).isEqualTo(ClockReading.UNKNOWN_MILLIS);
    }
}
