package dev.zinniaring.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RateLimitTest {
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final RateLimit limit = new RateLimit(clock);

    @Test
    void withoutALimitNothingIsHeldBack() {
        assertThat(limit.tryTake()).isTrue();
        assertThat(limit.waitNanos(1_000)).isZero();
    }

    /** Plays arrivals at many times the limit; also short spans must not exceed it much. */
    @ParameterizedTest
    @CsvSource({"0, 1", "1, 2", "26.4, 3", "48, 4", "500, 5"})
    void noSpanOfFourSecondsGetsMoreThanTheLimitAndOneBurst(double perSecond, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Duration span = Duration.ofSeconds(4);
        Deque<Long> sent = new ArrayDeque<>();
        int most = 0;
        limit.set(perSecond);
        for (int arrival = 0; arrival < 20_000; arrival++) {
            clock.advance(Duration.ofNanos(random.nextLong(1, 2_000_000)));
            if (limit.tryTake()) {
                sent.add(clock.nanos());
            }
            while (!sent.isEmpty() && clock.nanos() - sent.peek() > span.toNanos()) {
                sent.poll();
            }
            most = Math.max(most, sent.size());
        }
        assertThat((double) most).isLessThanOrEqualTo(4.25 * perSecond + 3);
        assertThat((double) most).isGreaterThanOrEqualTo(3.9 * perSecond);
    }

    @Test
    void theWaitGrowsWithTheCallsAhead() {
        limit.set(10);
        assertThat(limit.waitNanos(0)).isEqualTo(Duration.ofMillis(100).toNanos());
        assertThat(limit.waitNanos(4)).isEqualTo(Duration.ofMillis(500).toNanos());
        clock.advance(Duration.ofMillis(100));
        assertThat(limit.waitNanos(0)).isZero();
    }

    /** A burst saved up under a high limit must not reach a server that takes less now. */
    @Test
    void aLowerLimitAppliesToWhatWasSavedUp() {
        limit.set(400);
        clock.advance(Duration.ofSeconds(1));
        limit.set(2);
        assertThat(limit.tryTake()).isTrue();
        assertThat(limit.tryTake()).isFalse();
    }
}
