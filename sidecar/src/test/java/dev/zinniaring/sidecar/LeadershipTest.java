package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.kernel.ManualScheduler;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class LeadershipTest {
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration TAKEOVER = Duration.ofMillis(Leadership.LEASE_MILLIS + 1_500);

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final ManualScheduler scheduler = new ManualScheduler(clock);
    private final FakeRowStore store = new FakeRowStore();
    private final Leadership first = node("n1");
    private final Leadership second = node("n2");
    private boolean firstRuns = true;

    LeadershipTest() {
        store.clock = clock;
    }

    private Leadership node(String id) {
        return new Leadership(store, id, "10.0.0.1:" + id.charAt(1), scheduler, clock);
    }

    /** Lets both nodes try, and checks in each moment that at most one of them leads. */
    private void run(Duration time) {
        for (Duration passed = Duration.ZERO;
                passed.compareTo(time) < 0;
                passed = passed.plus(TICK)) {
            if (firstRuns) {
                first.tick(true);
            }
            second.tick(true);
            scheduler.advance(TICK);
            assertThat(first.leading() && second.leading()).as("both lead").isFalse();
        }
    }

    @Test
    void oneNodeLeadsAndTheOtherKnowsItsAddress() {
        run(Duration.ofSeconds(10));
        assertThat(first.leading()).isTrue();
        assertThat(second.holder().address()).isEqualTo("10.0.0.1:1");
    }

    @Test
    void anotherNodeTakesOverFromALeaderThatHasEnded() {
        run(Duration.ofSeconds(2));
        firstRuns = false;
        run(TAKEOVER);
        assertThat(first.leading()).isFalse();
        assertThat(second.leading()).isTrue();
        assertThat(second.term()).isGreaterThan(first.term());
    }

    /** A leader that cannot renew its row must stop before another node may take it over. */
    @Test
    void aLeaderStopsByItselfWhileTheStoreIsAway() {
        run(Duration.ofSeconds(2));
        store.down = true;
        run(Duration.ofMillis(Leadership.LEASE_MILLIS));
        assertThat(first.leading()).isFalse();
        store.down = false;
        run(TAKEOVER);
        assertThat(first.leading() || second.leading()).isTrue();
    }

    /** The answer of a renewal may be lost although the store has done it. */
    @Test
    void aLeaderWhoseRenewalIsNotAnsweredGoesOnLeading() {
        run(Duration.ofSeconds(2));
        store.loseNextResponse = true;
        run(Duration.ofSeconds(4));
        assertThat(first.leading()).isTrue();
    }

    @Test
    void aLeaderThatReleasesTheRowIsReplacedAtOnce() {
        run(Duration.ofSeconds(2));
        first.release();
        firstRuns = false;
        run(Duration.ofMillis(1_500));
        assertThat(second.leading()).isTrue();
    }
}
