package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class LeaderReachTest {
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final LeaderReach reach = new LeaderReach(clock);

    /** A leader that is cut off from the others, but not from the store, must not keep the lead. */
    @Test
    void aLeaderThatNobodyReachesGivesUpAndLeavesTheLeadToOthers() {
        clock.advance(Duration.ofSeconds(2));
        assertThat(reach.shouldGiveUp(6)).isFalse();
        clock.advance(Duration.ofSeconds(2));
        assertThat(reach.shouldGiveUp(6)).isTrue();
        assertThat(reach.mayLead()).isFalse();
        clock.advance(Duration.ofSeconds(10));
        assertThat(reach.mayLead()).isTrue();
    }

    @Test
    void aLeaderThatOthersReachGoesOn() {
        for (int i = 0; i < 10; i++) {
            clock.advance(Duration.ofSeconds(1));
            reach.heard();
            assertThat(reach.shouldGiveUp(6)).isFalse();
        }
    }

    @Test
    void aNodeThatIsAloneGoesOn() {
        clock.advance(Duration.ofSeconds(60));
        assertThat(reach.shouldGiveUp(1)).isFalse();
    }
}
