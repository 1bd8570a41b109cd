package dev.zinniaring.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import dev.zinniaring.transport.TestNetworks.Node;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against faulty peers that go unnoticed or affect others: a fault of a peer is counted and
 * closes at most that peer's link.
 */
class LinkFaultsTest {
    private static final TransportLimits LIMITS =
            TransportLimits.defaults()
                    .withTimeouts(
                            Duration.ofMillis(400), Duration.ofMillis(400), Duration.ofSeconds(30))
                    .withSilenceTimeout(Duration.ofMillis(800));

    private TestNetworks networks;
    private Node server;

    @BeforeEach
    void open() throws TransportException {
        networks = new TestNetworks();
        server = networks.start("server", "z1", 1, builder -> builder.limits(LIMITS));
    }

    @AfterEach
    void close() {
        networks.close();
    }

    static Stream<Arguments> faultsBeforeTheHello() {
        byte[] hello = RawPeer.helloFrame(Hello.PROTOCOL, "test", "x", 1);
        return Stream.of(
                arguments("nothing", new byte[0], TransportFault.HANDSHAKE_TIMEOUT),
                arguments(
                        "half a greeting",
                        Arrays.copyOf(hello, hello.length / 2),
                        TransportFault.HANDSHAKE_TIMEOUT),
                arguments("HTTP", "GET / HTTP/1.1\r\n\r\n".getBytes(), TransportFault.FRAME_LENGTH),
                arguments("a large greeting", lengthPrefix(2_000), TransportFault.FRAME_LENGTH),
                arguments("a negative length", lengthPrefix(-5), TransportFault.FRAME_LENGTH),
                arguments(
                        "another first message",
                        RawPeer.noteFrame(1),
                        TransportFault.MALFORMED_FRAME),
                arguments(
                        "no message",
                        RawPeer.frame(new byte[] {(byte) 0xc1}),
                        TransportFault.MALFORMED_FRAME),
                arguments(
                        "another mesh",
                        RawPeer.helloFrame(Hello.PROTOCOL, "other", "x", 1),
                        TransportFault.WRONG_MESH),
                arguments(
                        "another protocol",
                        RawPeer.helloFrame(99, "test", "x", 1),
                        TransportFault.WRONG_PROTOCOL),
                arguments(
                        "the server's own id",
                        RawPeer.helloFrame(Hello.PROTOCOL, "test", "server", 5),
                        TransportFault.WRONG_PEER));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void faultsBeforeTheHello(String name, byte[] bytes, TransportFault fault) throws Exception {
        try (RawPeer peer = new RawPeer(server.peer().controlAddress())) {
            peer.write(bytes);
            assertThat(peer.isClosedByPeer()).isTrue();
        }
        assertThat(server.faults(fault)).isEqualTo(1);
        assertThatOtherPeersAreServed();
    }

    static Stream<Arguments> faultsAfterTheHello() {
        byte[] note = RawPeer.noteFrame(1);
        byte[] cut = Arrays.copyOfRange(note, 4, note.length - 1);
        return Stream.of(
                arguments(
                        "half a frame",
                        Arrays.copyOf(note, note.length - 1),
                        TransportFault.PARTIAL_FRAME_TIMEOUT),
                arguments("half a length", new byte[] {0, 0}, TransportFault.PARTIAL_FRAME_TIMEOUT),
                arguments(
                        "an oversize length",
                        lengthPrefix(LIMITS.maxFrameBytes() + 1),
                        TransportFault.FRAME_LENGTH),
                arguments("a cut message", RawPeer.frame(cut), TransportFault.MALFORMED_FRAME),
                arguments(
                        "no array", RawPeer.frame(new byte[] {1}), TransportFault.MALFORMED_FRAME));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void faultsAfterTheHello(String name, byte[] bytes, TransportFault fault) throws Exception {
        try (RawPeer peer = new RawPeer(server.peer().controlAddress())) {
            peer.handshake("x").write(bytes);
            assertThat(peer.isClosedByPeer()).isTrue();
        }
        assertThat(server.faults(fault)).isEqualTo(1);
        assertThatOtherPeersAreServed();
    }

    @Test
    void anUnknownTypeAndAFailingHandlerLeaveTheLinkOpen() throws Exception {
        byte[] unknown = {(byte) 0x91, 0x7f};
        try (RawPeer peer = new RawPeer(server.peer().controlAddress())) {
            peer.handshake("x").write(RawPeer.frame(unknown)).write(RawPeer.noteFrame(5));
            assertThat(server.receive()).isEqualTo(5);
        }
        assertThat(server.faults(TransportFault.UNKNOWN_TYPE)).isEqualTo(1);
    }

    /** Guards against random input that stops the I/O thread or leaks links. */
    @Test
    void randomStreamsAndDatagramsDoNotAffectOtherPeers() throws Exception {
        Random random = new Random(77);
        try (DatagramSocket datagrams = new DatagramSocket()) {
            for (int i = 0; i < 60; i++) {
                byte[] bytes = new byte[1 + random.nextInt(1_500)];
                random.nextBytes(bytes);
                datagrams.send(
                        new DatagramPacket(bytes, bytes.length, server.peer().controlAddress()));
                try (RawPeer peer = new RawPeer(server.peer().controlAddress())) {
                    if (random.nextBoolean()) {
                        peer.handshake("x" + i);
                    }
                    peer.write(bytes);
                }
            }
        }
        assertThatOtherPeersAreServed();
        boolean released =
                TestNetworks.eventually(() -> server.network().state().links().size() <= 1);
        assertThat(released).isTrue();
        assertThat(server.faults(TransportFault.MALFORMED_DATAGRAM)).isPositive();
    }

    /** Guards against keeping a link to a VM that vanished without closing the connection. */
    @Test
    void closesTheLinkOfAPeerThatDoesNotAnswerACheck() throws Exception {
        try (RawPeer peer = new RawPeer(server.peer().controlAddress())) {
            peer.handshake("x");
            assertThat(peer.isClosedByPeer()).isTrue();
        }
        assertThat(server.faults(TransportFault.PEER_SILENT)).isEqualTo(1);
    }

    /** Guards against closing links without traffic whose peers are alive. */
    @Test
    void keepsTheLinkOfAQuietPeerThatAnswersChecks() throws Exception {
        Node quiet = networks.start("quiet", "z1", 1);
        quiet.network().send(server.peer(), Note.of(1));
        assertThat(server.receive()).isEqualTo(1);
        assertThat(TestNetworks.eventually(() -> checksReceived(quiet) >= 3)).isTrue();
        assertThat(server.faults(TransportFault.PEER_SILENT)).isZero();
        assertThat(server.network().state().links()).hasSize(1);
    }

    private static long checksReceived(Node node) {
        var flow = new TrafficCounters.Flow("LinkCheck", TrafficCounters.Direction.RECEIVED, false);
        var total = node.network().counters().snapshot().flows().get(flow);
        return total == null ? 0 : total.messages();
    }

    /** Guards against unbounded memory use for a peer that does not read. */
    @Test
    void closesTheLinkOfAPeerThatDoesNotReadWhenTheQueueIsFull() throws Exception {
        try (RawPeer peer = new RawPeer(server.peer().controlAddress())) {
            peer.handshake("x");
            assertThat(TestNetworks.eventually(() -> server.network().state().links().size() == 1))
                    .isTrue();
            Peer target = new Peer("x", "z9", new java.net.InetSocketAddress("127.0.0.1", 1));
            Note large = new Note(1, "", new byte[500_000]);
            boolean failed =
                    TestNetworks.eventually(
                            () -> {
                                server.network().send(target, large);
                                return server.faults(TransportFault.QUEUE_FULL) > 0;
                            });
            assertThat(failed).isTrue();
        }
        assertThatOtherPeersAreServed();
    }

    private void assertThatOtherPeersAreServed() throws Exception {
        Node other = networks.start("other", "z1", 1);
        other.network().send(server.peer(), Note.of(42));
        assertThat(server.receive()).isEqualTo(42);
    }

    private static byte[] lengthPrefix(int length) {
        return ByteBuffer.allocate(4).putInt(length).array();
    }
}
