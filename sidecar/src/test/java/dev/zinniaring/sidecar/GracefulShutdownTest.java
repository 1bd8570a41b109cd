package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.kernel.ManualScheduler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {
    private static final InetSocketAddress ANY = new InetSocketAddress(0);

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final ManualScheduler scheduler = new ManualScheduler(clock);
    private final List<String> steps = new ArrayList<>();
    private int inFlight;
    private final GracefulShutdown shutdown =
            new GracefulShutdown(settings(), clock, scheduler, () -> inFlight);

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

    private void start() {
        shutdown.start(
                () -> steps.add("peers"), () -> steps.add("clients"), () -> steps.add("end"));
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
}
