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

class ShutdownTest {
    private static final InetSocketAddress ANY = new InetSocketAddress(0);

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final ManualScheduler scheduler = new ManualScheduler(clock);
    private final List<String> steps = new ArrayList<>();
    private int inFlight;
    private final Shutdown shutdown = new Shutdown(settings(), clock, scheduler, () -> inFlight);

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

    private void begin() {
        shutdown.begin(
                () -> steps.add("peers"), () -> steps.add("clients"), () -> steps.add("end"));
    }

    private void pass(long millis) {
        scheduler.advance(Duration.ofMillis(millis));
    }

    /** A node that ends before clients were sent elsewhere refuses their connections. */
    @Test
    void anIdleNodeStaysUntilPeersAndClientsAreInformed() {
        begin();
        pass(1_100);
        assertThat(steps).isEmpty();
        pass(1_500);
        assertThat(steps).containsExactly("peers");
        pass(200);
        assertThat(steps).containsExactly("peers", "clients", "end");
    }

    /** A node that took calls until its forced end cut a request that came 5.1 s after SIGTERM. */
    @Test
    void newCallsAreRefusedBeforeTheLastOnesEnd() {
        inFlight = 3;
        begin();
        pass(3_000);
        assertThat(steps).containsExactly("peers", "clients");
        inFlight = 0;
        pass(100);
        assertThat(steps).containsExactly("peers", "clients", "end");
    }

    /** A call that never ends must not keep the node until it is killed. */
    @Test
    void aNodeEndsBeforeItWouldBeKilled() {
        inFlight = 1;
        begin();
        pass(5_500);
        assertThat(steps).doesNotContain("end");
        pass(200);
        assertThat(steps).contains("end");
    }
}
