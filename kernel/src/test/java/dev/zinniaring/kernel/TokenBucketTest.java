package dev.zinniaring.kernel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class TokenBucketTest {
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);

    // Guards against bursts of connects, pulls or reads that overload a peer or the platform.
    @Test
    void allowsABurstAndThenTheRate() {
        TokenBucket bucket = new TokenBucket(clock, 10, 2);
        assertThat(bucket.take()).isTrue();
        assertThat(bucket.take()).isTrue();
        assertThat(bucket.take()).isFalse();
        clock.advance(Duration.ofMillis(100));
        assertThat(bucket.take()).isTrue();
        assertThat(bucket.take()).isFalse();
    }

    @Test
    void refusesNegativeRatesAndBurstsBelowOne() {
        assertThatThrownBy(() -> new TokenBucket(clock, -1, 1)).hasMessageContaining("perSecond");
        assertThatThrownBy(() -> new TokenBucket(clock, 1, 0.5)).hasMessageContaining("burst");
    }
}
