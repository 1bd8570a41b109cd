package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ClockReading;
import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.rollout.RolloutState;
import dev.zinniaring.rollout.VersionShares;
import dev.zinniaring.rollout.VersionSplit;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class VersionFilterTest {
    private static final int OLD = 10;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final VersionShares shares = new VersionShares(clock, new SplittableRandom(1), true);
    private final VersionFilter filter = new VersionFilter(shares);
    private final List<EndpointRecord> servers = new ArrayList<>();

    VersionFilterTest() {
        for (int i = 0; i < OLD; i++) {
            servers.add(server("old" + i, 1, "v1"));
            servers.add(server("new" + i, 50, "v2"));
        }
    }

    private static EndpointRecord server(String id, long incarnation, String version) {
        return new EndpointRecord(
                id, "s", id, "z", "a", incarnation, 1, 6, 9, EndpointState.READY, 0, version);
    }

    private void split(double share, RolloutState state) {
        shares.answered(ClockReading.of(clock), Map.of("s", new VersionSplit("v2", share, state)));
    }

    private Set<String> usedVersions(boolean mayTry) {
        Set<String> used = new TreeSet<>();
        for (int i = 0; i < 200; i++) {
            filter.candidates("s", servers, mayTry).forEach(server -> used.add(server.version()));
        }
        return used;
    }

    /** A node that was restarted in the middle of a roll-out must not use the new version. */
    @Test
    void onlyTheOldestVersionIsUsedUntilTheDecidingNodeIsHeard() {
        assertThat(usedVersions(true)).containsExactly("v1");
    }

    /** A version that fails under load must show it while few calls try it. */
    @Test
    void aSmallShareGoesToAsFewServersAsItFills() {
        split(0.1, RolloutState.RUNNING);
        Set<String> tried = new TreeSet<>();
        for (int i = 0; i < 500; i++) {
            List<EndpointRecord> candidates = filter.candidates("s", servers, true);
            if (candidates.get(0).version().equals("v2")) {
                candidates.forEach(server -> tried.add(server.serverId()));
            }
        }
        assertThat(tried).containsExactly("new0");
    }

    @Test
    void repeatsStayWithTheOldVersionWhileTheNewOneIsOnTrial() {
        split(0.5, RolloutState.RUNNING);
        assertThat(usedVersions(false)).containsExactly("v1");
    }

    @Test
    void aVersionThatWasRolledBackGetsNothingEvenIfItIsAlone() {
        split(0, RolloutState.ROLLED_BACK);
        assertThat(usedVersions(true)).containsExactly("v1");
        servers.removeIf(server -> server.version().equals("v1"));
        assertThat(filter.candidates("s", servers, true)).isEmpty();
    }

    @Test
    void aCompletedVersionGetsAllCallsAndTheOthersOnlyIfItIsGone() {
        split(1, RolloutState.COMPLETED);
        assertThat(usedVersions(true)).containsExactly("v2");
        servers.removeIf(server -> server.version().equals("v2"));
        assertThat(usedVersions(true)).containsExactly("v1");
    }

    /** A restarted node knows a server by its health check, which does not tell its version. */
    @Test
    void serversOfUnknownVersionsAreUsedOnlyIfNoOthersAre() {
        servers.add(server("unknown", 1, ""));
        split(0, RolloutState.RUNNING);
        assertThat(usedVersions(true)).containsExactly("v1");
        servers.removeIf(server -> server.version().equals("v1"));
        assertThat(usedVersions(true)).containsExactly("");
    }
}
