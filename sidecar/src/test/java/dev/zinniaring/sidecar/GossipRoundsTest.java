package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.sidecar.GossipRounds.Target;
import org.junit.jupiter.api.Test;

class GossipRoundsTest {
    private static final int PHASES = 24;

    /** Rounds that ask another node instead would let a change wait for a silent reader. */
    @Test
    void theReaderIsAskedInEveryRoundOfEveryPhase() {
        GossipRounds rounds = new GossipRounds();
        for (int i = 0; i < PHASES; i++) {
            assertThat(rounds.next(false)).as("round %d", i).contains(Target.READER);
        }
    }

    @Test
    void nodesOfTheZoneAndOfOtherZonesAreAskedToo() {
        GossipRounds rounds = new GossipRounds();
        int zonePeers = 0;
        int remotePeers = 0;
        for (int i = 0; i < PHASES; i++) {
            var targets = rounds.next(true);
            assertThat(targets).doesNotContain(Target.READER);
            zonePeers += targets.contains(Target.ZONE_PEER) ? 1 : 0;
            remotePeers += targets.contains(Target.REMOTE_PEER) ? 1 : 0;
        }
        assertThat(zonePeers).isEqualTo(7);
        assertThat(remotePeers).isEqualTo(3);
    }
}
