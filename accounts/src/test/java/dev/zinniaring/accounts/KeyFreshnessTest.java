package dev.zinniaring.accounts;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ClockReading;
import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class KeyFreshnessTest {
    private static final Duration BOUND = Duration.ofSeconds(5);

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final KeyFreshness freshness = new KeyFreshness(clock);

    @Test
    void keysDoNotHoldBeforeTheFirstConfirmation() {
        assertThat(freshness.holds(BOUND)).isFalse();
    }

    /** A node that hears of nothing must stop by itself before a revoked key is out of bounds. */
    @Test
    void keysHoldForLessThanTheBoundWithoutAConfirmation() {
        freshness.confirm(ClockReading.of(clock), 0);
        clock.advance(Duration.ofMillis(4_900));
        assertThat(freshness.holds(BOUND)).isTrue();
        clock.advance(Duration.ofMillis(100));
        assertThat(freshness.holds(BOUND)).isFalse();
    }

    /** An answer may be held up on a link while a key is taken away. */
    @Test
    void aConfirmationCountsFromTheMomentOfTheQuestion() {
        ClockReading asked = ClockReading.of(clock);
        clock.advance(Duration.ofSeconds(4));
        freshness.confirm(asked, 0);
        assertThat(freshness.ageMillis()).isEqualTo(4_000);
    }

    @Test
    void theKnowledgeOfAPeerCountsWithItsAge() {
        freshness.confirm(ClockReading.of(clock), 1_500);
        clock.advance(Duration.ofSeconds(1));
        assertThat(freshness.ageMillis()).isEqualTo(2_500);
    }

    @Test
    void anOlderConfirmationDoesNotReplaceALaterOne() {
        freshness.confirm(ClockReading.of(clock), 100);
        freshness.confirm(ClockReading.of(clock), 900);
        assertThat(freshness.ageMillis()).isEqualTo(100);
    }
}
