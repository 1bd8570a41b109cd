package dev.zinniaring.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.zinniaring.transport.TestNetworks.Node;
import dev.zinniaring.transport.TrafficCounters.Direction;
import dev.zinniaring.transport.TrafficCounters.Flow;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TcpNetworkTest {
    private TestNetworks networks;

    @BeforeEach
    void open() throws TransportException {
        networks = new TestNetworks();
    }

    @AfterEach
    void close() {
        networks.close();
    }

    @Test
    void deliversFramesInOrderWithTheirSender() throws Exception {
        Node a = networks.start("a", "z1", 1);
        Node b = networks.start("b", "z1", 1);
        LongStream.range(0, 500).forEach(i -> a.network().send(b.peer(), Note.of(i)));
        for (long i = 0; i < 500; i++) {
            TestNetworks.Received received = b.inbox().take();
            assertThat(received.note().number()).isEqualTo(i);
            assertThat(received.from()).isEqualTo(a.peer());
        }
    }

    @Test
    void answersOverTheSameLink() throws Exception {
        Node a = networks.start("a", "z1", 1);
        Node b = networks.start("b", "z1", 1);
        a.network().send(b.peer(), Note.of(1));
        assertThat(b.receive()).isEqualTo(1);
        b.network().send(a.peer(), Note.of(2));
        assertThat(a.receive()).isEqualTo(2);
        assertThat(b.network().state().links()).hasSize(1);
    }

    @Test
    void sendsToAnAddressWhoseNodeIsUnknown() throws Exception {
        Node a = networks.start("a", "z1", 1);
        Node b = networks.start("b", "z1", 1);
        a.network().send(b.peer().controlAddress(), Note.of(7));
        assertThat(b.receive()).isEqualTo(7);
    }

    @Test
    void deliversToItselfWithoutALink() throws Exception {
        Node a = networks.start("a", "z1", 1);
        a.network().send(a.peer(), Note.of(1));
        a.network().send(a.peer().controlAddress(), Note.of(2));
        a.network().sendDatagram(a.peer(), Note.of(3));
        assertThat(LongStream.of(a.receive(), a.receive(), a.receive()))
                .containsExactly(1L, 2L, 3L);
        assertThat(a.network().state().links()).isEmpty();
    }

    @Test
    void deliversDatagrams() throws Exception {
        Node a = networks.start("a", "z1", 1);
        Node b = networks.start("b", "z2", 1);
        a.network().sendDatagram(b.peer(), Note.of(4));
        TestNetworks.Received received = b.inbox().take();
        assertThat(received.from()).isEqualTo(a.peer());
        assertThat(received.note().number()).isEqualTo(4);
    }

    @Test
    void dropsAndCountsADatagramThatIsTooLarge() throws Exception {
        Node a = networks.start("a", "z1", 1);
        Node b = networks.start("b", "z1", 1);
        a.network().sendDatagram(b.peer(), new Note(1, "", new byte[1_400]));
        assertThat(a.faults(TransportFault.DATAGRAM_NOT_SENT)).isEqualTo(1);
    }

    @Test
    void countsTrafficByTypeAndZone() throws Exception {
        Node a = networks.start("a", "z1", 1);
        Node b = networks.start("b", "z2", 1);
        a.network().send(b.peer(), Note.of(1));
        assertThat(b.receive()).isEqualTo(1);
        TrafficCounters.Snapshot sent = a.network().counters().snapshot();
        TrafficCounters.Snapshot received = b.network().counters().snapshot();
        assertThat(sent.flows().get(new Flow("Note", Direction.SENT, true)))
                .isEqualTo(received.flows().get(new Flow("Note", Direction.RECEIVED, true)));
        assertThat(sent.total(Direction.SENT, false).bytes()).isZero();
    }

    @Test
    void refusesAPeerOfAnotherMesh() throws Exception {
        Node a = networks.start("a", "z1", 1);
        Node b = networks.start("b", "z1", 1, builder -> builder.mesh("other"));
        a.network().send(b.peer(), Note.of(1));
        a.network().sendDatagram(b.peer(), Note.of(2));
        assertThat(TestNetworks.eventually(() -> b.faults(TransportFault.WRONG_MESH) >= 2))
                .isTrue();
        assertThat(b.inbox()).isEmpty();
    }

    @Test
    void doesNotDeliverToAnotherNodeThatTookOverTheAddress() throws Exception {
        Node a = networks.start("a", "z1", 1);
        Node b = networks.start("b", "z1", 1);
        a.network().send(new Peer("c", "z1", b.peer().controlAddress()), Note.of(1));
        assertThat(TestNetworks.eventually(() -> a.faults(TransportFault.WRONG_PEER) >= 1))
                .isTrue();
        assertThat(b.inbox()).isEmpty();
    }

    @Test
    void replacesTheLinkOfAnEarlierIncarnation() throws Exception {
        Node a = networks.start("a", "z1", 1);
        Node firstIncarnation = networks.start("b", "z1", 10);
        firstIncarnation.network().send(a.peer(), Note.of(1));
        assertThat(a.receive()).isEqualTo(1);
        Node secondIncarnation = networks.start("b", "z1", 20);
        secondIncarnation.network().send(a.peer(), Note.of(2));
        assertThat(a.receive()).isEqualTo(2);
        a.network().send(secondIncarnation.peer(), Note.of(3));
        assertThat(secondIncarnation.receive()).isEqualTo(3);
        assertThat(firstIncarnation.inbox()).isEmpty();
        firstIncarnation.network().send(a.peer(), Note.of(4));
        assertThat(TestNetworks.eventually(() -> a.faults(TransportFault.WRONG_PEER) >= 1))
                .isTrue();
        assertThat(a.inbox()).isEmpty();
    }

    @Test
    void reconnectsToARestartedPeer() throws Exception {
        Node a = networks.start("a", "z1", 1);
        Node b = networks.start("b", "z1", 1);
        a.network().send(b.peer(), Note.of(1));
        assertThat(b.receive()).isEqualTo(1);
        InetSocketAddress address = b.peer().controlAddress();
        b.network().close();
        Node restarted = networks.start("b", "z1", 2, builder -> builder.bind(address));
        boolean received =
                TestNetworks.eventually(
                        () -> {
                            a.network().send(restarted.peer(), Note.of(2));
                            return !restarted.inbox().isEmpty();
                        });
        assertThat(received).isTrue();
    }

    @Test
    void refusesLinksAboveTheAcceptLimits() throws Exception {
        TransportLimits limits = TransportLimits.defaults().withAccepting(512, 0, 1);
        Node server = networks.start("s", "z1", 1, builder -> builder.limits(limits));
        Node first = networks.start("a", "z1", 1);
        first.network().send(server.peer(), Note.of(1));
        assertThat(server.receive()).isEqualTo(1);
        Node second = networks.start("b", "z1", 1);
        second.network().send(server.peer(), Note.of(2));
        assertThat(TestNetworks.eventually(() -> second.faults(TransportFault.CONNECT_FAILED) >= 1))
                .isTrue();
        assertThat(server.faults(TransportFault.ACCEPT_REFUSED)).isEqualTo(1);
    }

    @Test
    void closesIdleLinks() throws Exception {
        TransportLimits limits =
                TransportLimits.defaults()
                        .withTimeouts(
                                Duration.ofSeconds(5),
                                Duration.ofSeconds(10),
                                Duration.ofMillis(300));
        Node a = networks.start("a", "z1", 1, builder -> builder.limits(limits));
        Node b = networks.start("b", "z1", 1);
        a.network().send(b.peer(), Note.of(1));
        assertThat(b.receive()).isEqualTo(1);
        assertThat(TestNetworks.eventually(() -> b.network().state().links().isEmpty())).isTrue();
        assertThat(a.network().state().links()).isEmpty();
    }

    @Test
    void registersItsCountersForPrometheus() throws Exception {
        Node a = networks.start("a", "z1", 1);
        Node b = networks.start("b", "z2", 1);
        a.network().send(b.peer(), Note.of(1));
        assertThat(b.receive()).isEqualTo(1);
        PrometheusRegistry registry = new PrometheusRegistry();
        a.network().counters().register(registry);
        assertThat(registry.scrape().stream().map(m -> m.getMetadata().getName()))
                .containsExactlyInAnyOrder(
                        "zinniaring_transport_messages",
                        "zinniaring_transport_bytes",
                        "zinniaring_transport_faults");
    }

    /** Guards against names outside printable ASCII: the size limit of datagrams relies on it. */
    @Test
    void refusesNamesWithSpaces() {
        assertThatThrownBy(() -> TcpNetwork.builder().mesh("has space").build())
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("has space");
    }

    /**
     * Guards against leaked sockets or a hang in close() if the shared I/O loop is closed first.
     */
    @Test
    void closesAfterItsSharedLoopWasClosed() throws Exception {
        Node a = networks.start("a", "z1", 1);
        InetSocketAddress address = a.peer().controlAddress();
        networks.loop.close();
        a.network().send(new Peer("b", "z1", address), Note.of(1));
        a.network().close();
        try (IoLoop another = IoLoop.open("another")) {
            boolean bound =
                    TestNetworks.eventually(
                            () -> {
                                try {
                                    networks.start(
                                            "a", "z1", 2, x -> x.bind(address).loop(another));
                                    return true;
                                } catch (TransportException e) {
                                    return false;
                                }
                            });
            assertThat(bound).isTrue();
        }
    }

    @Test
    void rejectsTwoCodecsOfOneType() throws Exception {
        Node a = networks.start("a", "z1", 1);
        assertThatThrownBy(() -> a.network().registerHandler(Note.CODEC, (from, note) -> {}))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("100");
    }
}
