package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.calls.ServerSettings;
import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests what a node restores from the records of its earlier incarnations. */
class LocalRecordPublisherTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private static final ServerSettings SERVER = new ServerSettings("/health", 130);
    private static final long START_MILLIS = 5_000;

    private final ManualClock clock = ManualClock.startingAt(Instant.ofEpochMilli(START_MILLIS));
    private final LocalServerTracker tracker =
            new LocalServerTracker(clock, "s", ANY, () -> SERVER);
    private final List<EndpointRecord> published = new ArrayList<>();
    private final LocalRecordPublisher publisher =
            new LocalRecordPublisher(
                    settings(), clock, tracker, () -> SERVER, () -> false, published::add);

    private static SidecarSettings settings() {
        return new SidecarSettings(
                "n",
                "z",
                "s",
                ANY,
                ANY,
                ANY,
                ANY,
                ANY,
                ANY,
                ANY,
                Duration.ofSeconds(6),
                0.1,
                10,
                Duration.ofSeconds(10));
    }

    private static EndpointRecord record(String nodeId, EndpointState state) {
        return new EndpointRecord(
                "i1", "s", nodeId, "z", "127.0.0.1:1", START_MILLIS - 1_000, 3, 6, 130, state, 0);
    }

    private void announce() {
        tracker.handleAnnouncement(new Announcement("i1", 10, 4, "s", ANY, 6, false, 0));
    }

    /**
     * A node was killed after its server had announced that it leaves. Other nodes must not be told
     * that the server is ready because of an announcement that was delayed.
     */
    @Test
    void serverThatWasLeavingIsPublishedAsDrainingAfterARestart() {
        announce();
        assertThat(publisher.restoreLeaving(List.of(record("n", EndpointState.DRAINING)))).isTrue();
        assertThat(published)
                .extracting(EndpointRecord::state)
                .containsOnly(EndpointState.DRAINING);
        assertThat(tracker.local().leaving()).isTrue();
    }

    private LocalRecordPublisher atShutdown() {
        return new LocalRecordPublisher(
                settings(), clock, tracker, () -> SERVER, () -> true, published::add);
    }

    private EndpointState lastState() {
        return published.get(published.size() - 1).state();
    }

    /** The next incarnation would take the server into use after a late announcement. */
    @Test
    void aPlannedStopDoesNotForgetThatTheServerIsLeavingWhileItStillRuns() {
        announce();
        tracker.handleDeregistration("i1", Optional.empty());
        atShutdown().publishLast(onEnded -> {});
        assertThat(lastState()).isEqualTo(EndpointState.DRAINING);
    }

    /** Rows of servers that have ended would pile up in the table. */
    @Test
    void aPlannedStopRemovesTheRecordOfAServerThatHasEnded() {
        announce();
        tracker.handleDeregistration("i1", Optional.empty());
        atShutdown().publishLast(Runnable::run);
        assertThat(lastState()).isEqualTo(EndpointState.GONE);
    }

    @Test
    void aPlannedStopRemovesTheRecordOfAServerThatIsNotLeaving() {
        announce();
        atShutdown().publishLast(onEnded -> {});
        assertThat(lastState()).isEqualTo(EndpointState.GONE);
    }

    private static EndpointRecord odd(
            String nodeId, String address, long incarnation, long sequence) {
        return new EndpointRecord(
                "odd",
                "s",
                nodeId,
                "z",
                address,
                incarnation,
                sequence,
                6,
                130,
                EndpointState.READY,
                0);
    }

    /** Guards against a record that stands in for this node's server until the node ends. */
    @Test
    void recordsThatOthersWouldUseInPlaceOfThisNodesAreReplaced() {
        announce();
        publisher.publish();
        String address = published.get(0).callAddress();
        for (EndpointRecord odd :
                List.of(
                        odd("n", "127.0.0.1:9", START_MILLIS, 7),
                        odd("n", "127.0.0.1:9", START_MILLIS + 60_000, 1),
                        odd("other", address, START_MILLIS + 120_000, 1))) {
            int before = published.size();
            publisher.raiseIncarnation(List.of(odd));
            assertThat(published).hasSize(before + 1);
            EndpointRecord latest = published.get(before);
            assertThat(latest.incarnation()).isGreaterThan(odd.incarnation());
            assertThat(latest.serverId()).isEqualTo("i1");
        }
    }

    /** Each publication writes a row, so that nodes must not answer each other's for ever. */
    @Test
    void ownAndOtherRecordsThatReplaceNothingAreNotAnswered() {
        announce();
        publisher.publish();
        publisher.raiseIncarnation(
                List.of(published.get(0), odd("other", "127.0.0.1:9", START_MILLIS + 60_000, 1)));
        assertThat(published).hasSize(1);
    }

    @Test
    void recordsOfOtherNodesAndOfReadyServersRestoreNothing() {
        announce();
        assertThat(
                        publisher.restoreLeaving(
                                List.of(
                                        record("other", EndpointState.DRAINING),
                                        record("n", EndpointState.READY))))
                .isFalse();
        assertThat(tracker.local().leaving()).isFalse();
        assertThat(published).isEmpty();
    }
}
