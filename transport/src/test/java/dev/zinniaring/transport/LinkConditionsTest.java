package dev.zinniaring.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.transport.LinkConditions.Condition;
import dev.zinniaring.transport.TestNetworks.Node;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LinkConditionsTest {
    private TestNetworks networks;
    private Node a;
    private Node b;

    @BeforeEach
    void open() throws TransportException {
        networks = new TestNetworks();
        a = networks.start("a", "z1", 1);
        b = networks.start("b", "z2", 1);
    }

    @AfterEach
    void close() {
        networks.close();
    }

    /** Guards against simulated jitter and retransmission that reorder the frames of a link. */
    @Test
    void framesKeepTheirOrderUnderDelayJitterAndLoss() throws Exception {
        networks.conditions.setBoth(
                "z1",
                "z2",
                new Condition(Duration.ofMillis(5), Duration.ofMillis(20), 0.05, false));
        LongStream.range(0, 200).forEach(i -> a.network().send(b.peer(), Note.of(i)));
        List<Long> received = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            received.add(b.receive());
        }
        assertThat(received).isSorted().hasSize(200).doesNotContain(-1L);
    }

    /** Guards against a delay that is not applied. The sender runs on a manual clock. */
    @Test
    void aFrameIsWrittenWhenItsDelayHasElapsed() throws Exception {
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        Node sender = networks.start("c", "z1", 1, builder -> builder.clock(clock));
        sender.network().send(b.peer(), Note.of(0));
        assertThat(b.receive()).isZero();
        networks.conditions.set("z1", "z2", Condition.delayed(Duration.ofMillis(80)));
        sender.network().send(b.peer(), Note.of(1));
        assertThat(queued(sender)).isEqualTo(1);
        clock.advance(Duration.ofMillis(79));
        assertThat(queued(sender)).isEqualTo(1);
        clock.advance(Duration.ofMillis(1));
        assertThat(b.receive()).isEqualTo(1);
    }

    @Test
    void lossDropsDatagramsButNotFrames() throws Exception {
        networks.conditions.setBoth(
                "z1", "z2", new Condition(Duration.ZERO, Duration.ZERO, 1, false));
        a.network().sendDatagram(b.peer(), Note.of(1));
        a.network().send(b.peer(), Note.of(2));
        assertThat(b.receive()).isEqualTo(2);
        assertThat(b.inbox()).isEmpty();
    }

    @Test
    void anOpenLinkQueuesFramesDuringAPartitionAndResumesAfterIt() throws Exception {
        a.network().send(b.peer(), Note.of(1));
        assertThat(b.receive()).isEqualTo(1);
        networks.conditions.cutBoth("z1", "z2");
        a.network().send(b.peer(), Note.of(2));
        a.network().sendDatagram(b.peer(), Note.of(3));
        assertThat(TestNetworks.eventually(() -> queued(a) == 1)).isTrue();
        assertThat(b.inbox()).isEmpty();
        networks.conditions.healBoth("z1", "z2");
        assertThat(b.receive()).isEqualTo(2);
        assertThat(b.inbox()).isEmpty();
    }

    @Test
    void noLinkOpensIfTheDirectionIsPartitioned() throws Exception {
        networks.conditions.cut("z2", "z1");
        b.network().send(a.peer(), Note.of(1));
        assertThat(handshakeTimesOut(b)).isTrue();
        assertThat(a.inbox()).isEmpty();
        assertThat(a.network().state().links()).isEmpty();
    }

    /** Guards against a link that opens although no answer can return. */
    @Test
    void noLinkOpensIfTheReverseDirectionIsPartitioned() throws Exception {
        networks.conditions.cut("z2", "z1");
        a.network().send(b.peer(), Note.of(1));
        a.network().send(b.peer().controlAddress(), Note.of(2));
        assertThat(handshakeTimesOut(a)).isTrue();
        assertThat(b.inbox()).isEmpty();
    }

    private static boolean handshakeTimesOut(Node node) throws InterruptedException {
        return TestNetworks.eventually(() -> node.faults(TransportFault.HANDSHAKE_TIMEOUT) > 0);
    }

    @Test
    void zonesWithoutAConditionAreNotAffected() throws Exception {
        networks.conditions.cutBoth("z1", "z2");
        Node c = networks.start("c", "z1", 1);
        a.network().send(c.peer(), Note.of(1));
        assertThat(c.receive()).isEqualTo(1);
    }

    @Test
    void refusesConditionsOutOfRange() {
        assertThatThrownBy(() -> new Condition(Duration.ZERO, Duration.ZERO, 1.5, false))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("1.5");
        assertThatThrownBy(() -> Condition.delayed(Duration.ofMillis(-1)))
                .isInstanceOf(IllegalArgumentException.class);
    }

    private static int queued(Node node) {
        return node.network().state().links().stream()
                .mapToInt(TransportState.LinkState::queuedFrames)
                .sum();
    }
}
