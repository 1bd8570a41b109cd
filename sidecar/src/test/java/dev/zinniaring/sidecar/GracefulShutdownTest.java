package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.kernel.ManualScheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final ManualScheduler scheduler = new ManualScheduler(clock);
    private final List<String> steps = new ArrayList<>();
    private int inFlight;
    private long endNanos;
    private final GracefulShutdown shutdown =
            new GracefulShutdown(Duration.ofSeconds(6), clock, scheduler, new ScriptedCalls());

    private final class ScriptedCalls implements CallsInFlight {
        @Override
        public void stopAt(long processEndNanos, long clientsSwitchedNanos) {
            endNanos = processEndNanos;
        }

        @Override
        public void refusePeers() {
            steps.add("peers");
        }

        @Override
        public void refuseClients() {
            steps.add("clients");
        }

        @Override
        public int count() {
            return inFlight;
        }

        @Override
        public List<String> ids() {
            return IntStream.range(0, inFlight).mapToObj(i -> "c" + i).toList();
        }
    }

    private void start() {
        shutdown.start(clock.nanos(), () -> steps.add("end"));
    }

    private void advance(long millis) {
        scheduler.advance(Duration.ofMillis(millis));
    }

    /** A node that exits before clients are routed elsewhere would refuse their connections. */
    @Test
    void idleNodeKeepsRunningUntilPeersAndClientsHaveSwitched() {
        start();
        advance(1_100);
        assertThat(steps).isEmpty();
        advance(1_500);
        assertThat(steps).containsExactly("peers");
        advance(200);
        assertThat(steps).containsExactly("peers", "clients", "end");
    }

    /**
     * A node that accepted calls until the forced kill aborted a request that arrived 5.1 s after
     * SIGTERM.
     */
    @Test
    void newCallsAreRefusedWhileRemainingCallsComplete() {
        inFlight = 3;
        start();
        advance(3_000);
        assertThat(steps).containsExactly("peers", "clients");
        inFlight = 0;
        advance(100);
        assertThat(steps).containsExactly("peers", "clients", "end");
    }

    /** A call that never completes must not keep the node running until it is killed. */
    @Test
    void nodeExitsBeforeTheGracePeriodEnds() {
        inFlight = 1;
        start();
        advance(5_500);
        assertThat(steps).doesNotContain("end");
        advance(200);
        assertThat(steps).contains("end");
    }

    /** Calls are weighed against the time from the signal on, whenever the event loop sees it. */
    @Test
    void theEndOfTheProcessIsKnownToCallsFromTheStartOn() {
        long requestedNanos = clock.nanos();
        advance(300);
        shutdown.start(requestedNanos, () -> steps.add("end"));
        assertThat(endNanos - requestedNanos).isEqualTo(Duration.ofMillis(5_600).toNanos());
        inFlight = 1;
        advance(5_350);
        assertThat(steps).containsExactly("peers", "clients", "end");
    }

    /** A second signal that moved the end would let calls in that the forced kill cuts. */
    @Test
    void aSecondSignalDoesNotMoveTheEnd() {
        inFlight = 1;
        start();
        long firstEndNanos = endNanos;
        advance(2_000);
        start();
        assertThat(endNanos).isEqualTo(firstEndNanos);
        advance(3_700);
        assertThat(steps).containsExactly("peers", "clients", "end");
    }

    /** Guards against a node that is killed before it refuses calls. */
    @Test
    void aNodeWithAShortGracePeriodExitsBeforeItEnds() {
        inFlight = 1;
        new GracefulShutdown(Duration.ofSeconds(2), clock, scheduler, new ScriptedCalls())
                .start(clock.nanos(), () -> steps.add("end"));
        advance(1_700);
        assertThat(steps).containsExactly("peers", "clients", "end");
    }
}
