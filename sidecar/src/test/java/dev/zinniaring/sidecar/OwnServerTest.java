package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.calls.ServerSettings;
import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.sidecar.OwnServer.Change;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class OwnServerTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 8080);

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final OwnServer server =
            new OwnServer(clock, "orders", ADDRESS, () -> new ServerSettings("/health", 130));

    private static Announcement said(String id, long born, long sequence, boolean leaving) {
        return new Announcement(id, born, sequence, "orders", ADDRESS, 6, leaving, 0);
    }

    @Test
    void aServerThatAnnouncesItselfTakesCalls() {
        assertThat(server.announced(said("i1", 10, 1, false))).isEqualTo(Change.LIFE);
        assertThat(server.local().serverId()).isEqualTo("i1");
        assertThat(server.local().leaving()).isFalse();
    }

    /** A late announcement must not put a server that leaves back to work. */
    @Test
    void aLeavingServerDoesNotComeBackWithinItsLife() {
        server.announced(said("i1", 10, 5, true));
        assertThat(server.announced(said("i1", 10, 4, false))).isEqualTo(Change.NONE);
        assertThat(server.announced(said("i1", 10, 6, false))).isEqualTo(Change.NONE);
        assertThat(server.local().leaving()).isTrue();
    }

    /** An announcement that was held up must still be obeyed if it says that the server leaves. */
    @Test
    void aLateAnnouncementOfLeavingCounts() {
        server.announced(said("i1", 10, 6, false));
        assertThat(server.announced(said("i1", 10, 5, true))).isEqualTo(Change.STATE);
        assertThat(server.local().leaving()).isTrue();
    }

    /** A partition can deliver an announcement after its sender was replaced at the address. */
    @Test
    void anAnnouncementOfAnEarlierLifeIsRefused() {
        server.announced(said("i2", 20, 1, false));
        assertThat(server.announced(said("i1", 10, 9, true))).isEqualTo(Change.REFUSED);
        assertThat(server.withdrawn("i1", Optional.of(10L))).isEqualTo(Change.REFUSED);
        assertThat(server.local().serverId()).isEqualTo("i2");
        assertThat(server.local().leaving()).isFalse();
    }

    /** A server may start again under its id, and then knows nothing of having left. */
    @Test
    void aNewLifeUnderTheSameIdStartsOver() {
        server.announced(said("i1", 10, 9, true));
        assertThat(server.announced(said("i1", 20, 1, false))).isEqualTo(Change.LIFE);
        assertThat(server.local().leaving()).isFalse();
        assertThat(server.withdrawn("i1", Optional.of(10L))).isEqualTo(Change.REFUSED);
    }

    @Test
    void anAnnouncementOfAnotherServiceOrAddressIsRefused() {
        assertThat(server.announced(new Announcement("i", 1, 1, "other", ADDRESS, 6, false, 0)))
                .isEqualTo(Change.REFUSED);
        InetSocketAddress elsewhere = new InetSocketAddress("127.0.0.1", 8081);
        assertThat(server.announced(new Announcement("i", 1, 1, "orders", elsewhere, 6, false, 0)))
                .isEqualTo(Change.REFUSED);
        assertThat(server.local()).isNull();
    }

    /** A node that has restarted must not send calls to a server that withdrew meanwhile. */
    @Test
    void aServerFoundByAHealthCheckMayWithdraw() {
        assertThat(server.probed("i1", 6)).isTrue();
        assertThat(server.withdrawn("i1", Optional.of(10L))).isEqualTo(Change.STATE);
        assertThat(server.announced(said("i1", 10, 9, false))).isEqualTo(Change.LIFE);
        assertThat(server.local().leaving()).isTrue();
    }

    /** The clock of the VM can be set back between two lives of a server. */
    @Test
    void aLifeThatSeemsOlderIsTakenOnceTheOtherHasFallenSilent() {
        server.announced(said("i1", 2_000, 9, false));
        clock.advance(Duration.ofSeconds(2));
        assertThat(server.announced(said("i2", 500, 1, false))).isEqualTo(Change.REFUSED);
        clock.advance(Duration.ofSeconds(3));
        assertThat(server.announced(said("i2", 500, 2, false))).isEqualTo(Change.LIFE);
        assertThat(server.local().serverId()).isEqualTo("i2");
    }
}
