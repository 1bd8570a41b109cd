package dev.zinniaring.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import dev.zinniaring.kernel.ExecutorScheduler;
import dev.zinniaring.membership.Messages.Ack;
import dev.zinniaring.membership.Messages.MemberBuckets;
import dev.zinniaring.membership.Messages.MemberDigest;
import dev.zinniaring.membership.Messages.MemberEntries;
import dev.zinniaring.membership.Messages.MemberUpdate;
import dev.zinniaring.membership.Messages.Ping;
import dev.zinniaring.membership.Messages.PingRequest;
import dev.zinniaring.membership.Messages.Sender;
import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import dev.zinniaring.transport.Peer;
import dev.zinniaring.transport.TcpNetwork;
import dev.zinniaring.transport.TransportFault;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Guards against messages that change in encoding and decoding, or exceed the size limits. */
class MessagesTest {
    private static final Sender SENDER = new Sender(1_700_000_000_000L, 1_700_000_000_007L);
    private static final Member MEMBER = new Member(peer("n1"), 12, MemberState.SUSPECT, 10);

    static Stream<Arguments> messagesRoundTripThroughTheirCodec() {
        List<Member> members = List.of(MEMBER, MEMBER.with(MemberState.LEFT));
        return Stream.of(
                arguments(Ping.CODEC, new Ping(-5, "n2", SENDER, members)),
                arguments(PingRequest.CODEC, new PingRequest(1, peer("n2"), SENDER, members)),
                arguments(Ack.CODEC, new Ack(1, "n2", Ack.HELPER_STARTED, SENDER, List.of())),
                arguments(MemberUpdate.CODEC, new MemberUpdate(SENDER, members)),
                arguments(Messages.Join.CODEC, new Messages.Join(SENDER)),
                arguments(Messages.JoinReply.CODEC, new Messages.JoinReply(SENDER, true, members)),
                arguments(Messages.Leave.CODEC, new Messages.Leave(SENDER)),
                arguments(
                        MemberDigest.CODEC,
                        new MemberDigest(SENDER, new TreeMap<>(Map.of("a", 1L, "b", -1L)))),
                arguments(
                        MemberBuckets.CODEC,
                        new MemberBuckets("a", Collections.nCopies(MemberHashes.BUCKETS, -3L))),
                arguments(MemberEntries.CODEC, new MemberEntries("a", -1, members)));
    }

    @ParameterizedTest
    @MethodSource
    <M extends Message> void messagesRoundTripThroughTheirCodec(MessageCodec<M> codec, M message)
            throws Exception {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            codec.write(message, out);
            var in = MessagePack.newDefaultUnpacker(out.toByteArray());
            assertThat(codec.read(in)).isEqualTo(message);
            assertThat(in.hasNext()).isFalse();
        }
    }

    /** Guards against allocating memory for a list length that a peer merely announces. */
    @Test
    void memberListAboveTheLimitIsRejected() throws Exception {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(Integer.MAX_VALUE);
            var in = MessagePack.newDefaultUnpacker(out.toByteArray());
            assertThatThrownBy(() -> MemberFields.readAll(in))
                    .isInstanceOf(java.io.IOException.class)
                    .hasMessageContaining("exceeds the limit");
        }
    }

    /**
     * Guards against probes that exceed the datagram limit, and so are not sent, with long names.
     */
    @Test
    void largestProbeFitsIntoOneDatagram() throws Exception {
        String longest = "x".repeat(63);
        Peer peer = new Peer(longest, longest, new InetSocketAddress("::1", 65_535));
        UpdateQueue updateQueue = new UpdateQueue();
        for (int i = 0; i < 20; i++) {
            Peer other = new Peer(longest.substring(2) + (10 + i), longest, peer.controlAddress());
            updateQueue.add(
                    new Member(other, Long.MAX_VALUE, MemberState.DEAD, Long.MAX_VALUE / 2));
        }
        List<Member> updates = new ArrayList<>(updateQueue.nextBatch(10));
        updates.add(new Member(peer, Long.MAX_VALUE, MemberState.DEAD, 1));
        Sender sender = new Sender(Long.MAX_VALUE / 2, Long.MAX_VALUE);
        try (ExecutorScheduler scheduler = new ExecutorScheduler("test", 1);
                TcpNetwork network =
                        TcpNetwork.builder()
                                .mesh(longest)
                                .nodeId(longest)
                                .zone(longest)
                                .incarnation(Long.MAX_VALUE)
                                .scheduler(scheduler)
                                .build()) {
            network.registerHandler(PingRequest.CODEC, (from, request) -> {});
            network.start();
            Peer target = new Peer("t", "z", network.self().controlAddress());
            network.sendDatagram(target, new PingRequest(Long.MAX_VALUE, peer, sender, updates));
            long failed = network.counters().snapshot().count(TransportFault.DATAGRAM_NOT_SENT);
            assertThat(failed).isZero();
        }
    }

    private static Peer peer(String nodeId) {
        return new Peer(nodeId, "z", new InetSocketAddress("10.0.0.1", 7_400));
    }
}
