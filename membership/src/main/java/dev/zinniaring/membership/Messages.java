package dev.zinniaring.membership;

import dev.zinniaring.transport.Fields;
import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import dev.zinniaring.transport.MessageCodec.Overflow;
import dev.zinniaring.transport.Peer;
import java.io.IOException;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The messages of the membership protocol, which use the wire types 1 to 10. */
final class Messages {
    private static final int MAX_ZONES = 256;

    private Messages() {}

    /** Life and incarnation of a message's sender, which counts as alive because it has sent. */
    record Sender(long life, long incarnation) {
        Member toMember(Peer from) {
            return new Member(from, incarnation, MemberState.ALIVE, life);
        }

        private void write(MessagePacker out) throws IOException {
            out.packLong(life);
            out.packLong(incarnation - life);
        }

        private static Sender read(MessageUnpacker in) throws IOException {
            long life = in.unpackLong();
            return new Sender(life, life + in.unpackLong());
        }
    }

    /** Probes a node; only the node with the target id answers, with an {@link Ack}. */
    record Ping(long number, String targetId, Sender sender, List<Member> updates)
            implements Message {
        static final MessageCodec<Ping> CODEC =
                MessageCodec.of(1, Ping.class, Overflow.DROP_OLDEST, Ping::write, Ping::read);

        private static void write(Ping ping, MessagePacker out) throws IOException {
            out.packLong(ping.number);
            out.packString(ping.targetId);
            ping.sender.write(out);
            MemberFields.writeAll(out, ping.updates);
        }

        private static Ping read(MessageUnpacker in) throws IOException {
            return new Ping(
                    in.unpackLong(), Fields.name(in), Sender.read(in), MemberFields.readAll(in));
        }
    }

    /** Asks a helper to ping a target on behalf of the sender (indirect probe). */
    record PingRequest(long number, Peer target, Sender sender, List<Member> updates)
            implements Message {
        static final MessageCodec<PingRequest> CODEC =
                MessageCodec.of(
                        2,
                        PingRequest.class,
                        Overflow.DROP_OLDEST,
                        PingRequest::write,
                        PingRequest::read);

        private static void write(PingRequest request, MessagePacker out) throws IOException {
            out.packLong(request.number);
            Fields.peer(out, request.target);
            request.sender.write(out);
            MemberFields.writeAll(out, request.updates);
        }

        private static PingRequest read(MessageUnpacker in) throws IOException {
            return new PingRequest(
                    in.unpackLong(), Fields.peer(in), Sender.read(in), MemberFields.readAll(in));
        }
    }

    /**
     * Answers a {@link Ping} or {@link PingRequest}.
     *
     * @param answererId id of the node that answered; a relayed answer has another sender
     * @param answererLife life of that node; {@link #HELPER_STARTED} if a helper only confirms that
     *     it has started to probe
     */
    record Ack(
            long number, String answererId, long answererLife, Sender sender, List<Member> updates)
            implements Message {
        static final long HELPER_STARTED = 0;

        static final MessageCodec<Ack> CODEC =
                MessageCodec.of(3, Ack.class, Overflow.DROP_OLDEST, Ack::write, Ack::read);

        private static void write(Ack ack, MessagePacker out) throws IOException {
            out.packLong(ack.number);
            out.packString(ack.answererId);
            out.packLong(ack.answererLife);
            ack.sender.write(out);
            MemberFields.writeAll(out, ack.updates);
        }

        private static Ack read(MessageUnpacker in) throws IOException {
            return new Ack(
                    in.unpackLong(),
                    Fields.name(in),
                    in.unpackLong(),
                    Sender.read(in),
                    MemberFields.readAll(in));
        }
    }

    /** Disseminates updates independently of probes. */
    record MemberUpdate(Sender sender, List<Member> updates) implements Message {
        static final MessageCodec<MemberUpdate> CODEC =
                MessageCodec.of(
                        4,
                        MemberUpdate.class,
                        Overflow.DROP_OLDEST,
                        (update, out) -> {
                            update.sender.write(out);
                            MemberFields.writeAll(out, update.updates);
                        },
                        in -> new MemberUpdate(Sender.read(in), MemberFields.readAll(in)));
    }

    /** Asks a seed to admit the sender to the mesh and to send it the complete member list. */
    record Join(Sender sender) implements Message {
        static final MessageCodec<Join> CODEC =
                MessageCodec.of(
                        5,
                        Join.class,
                        Overflow.DROP_OLDEST,
                        (join, out) -> join.sender.write(out),
                        in -> new Join(Sender.read(in)));
    }

    /** One part of the member list, sent to a joining node; the last part completes the join. */
    record JoinReply(Sender sender, boolean last, List<Member> members) implements Message {
        static final MessageCodec<JoinReply> CODEC =
                MessageCodec.of(
                        6,
                        JoinReply.class,
                        Overflow.DROP_OLDEST,
                        (reply, out) -> {
                            reply.sender.write(out);
                            out.packBoolean(reply.last);
                            MemberFields.writeAll(out, reply.members);
                        },
                        in ->
                                new JoinReply(
                                        Sender.read(in),
                                        in.unpackBoolean(),
                                        MemberFields.readAll(in)));
    }

    /** Announces that the sender leaves the mesh. */
    record Leave(Sender sender) implements Message {
        static final MessageCodec<Leave> CODEC =
                MessageCodec.of(
                        7,
                        Leave.class,
                        Overflow.DROP_OLDEST,
                        (leave, out) -> leave.sender.write(out),
                        in -> new Leave(Sender.read(in)));
    }

    /** The hash of the live members of each availability zone, which starts a list exchange. */
    record MemberDigest(Sender sender, SortedMap<String, Long> zoneHashes) implements Message {
        static final MessageCodec<MemberDigest> CODEC =
                MessageCodec.of(
                        8,
                        MemberDigest.class,
                        Overflow.DROP_OLDEST,
                        MemberDigest::write,
                        MemberDigest::read);

        private static void write(MemberDigest digest, MessagePacker out) throws IOException {
            digest.sender.write(out);
            out.packArrayHeader(digest.zoneHashes.size());
            for (var zone : digest.zoneHashes.entrySet()) {
                out.packString(zone.getKey());
                out.packLong(zone.getValue());
            }
        }

        private static MemberDigest read(MessageUnpacker in) throws IOException {
            Sender sender = Sender.read(in);
            int zones = Fields.count(in, MAX_ZONES);
            SortedMap<String, Long> hashes = new TreeMap<>();
            for (int i = 0; i < zones; i++) {
                hashes.put(Fields.name(in), in.unpackLong());
            }
            return new MemberDigest(sender, hashes);
        }
    }

    /** The bucket hashes of one zone's live members, sent in reply to a differing digest. */
    record MemberBuckets(String zone, List<Long> hashes) implements Message {
        static final MessageCodec<MemberBuckets> CODEC =
                MessageCodec.of(
                        9,
                        MemberBuckets.class,
                        Overflow.DROP_OLDEST,
                        MemberBuckets::write,
                        MemberBuckets::read);

        private static void write(MemberBuckets buckets, MessagePacker out) throws IOException {
            out.packString(buckets.zone);
            for (long hash : buckets.hashes) {
                out.packLong(hash);
            }
        }

        private static MemberBuckets read(MessageUnpacker in) throws IOException {
            String zone = Fields.name(in);
            Long[] hashes = new Long[MemberHashes.BUCKETS];
            for (int i = 0; i < hashes.length; i++) {
                hashes[i] = in.unpackLong();
            }
            return new MemberBuckets(zone, List.of(hashes));
        }
    }

    /**
     * Members of one zone from buckets with differing hashes.
     *
     * @param requestedBuckets bit mask of the buckets for which the receiver should reply with its
     *     newer entries; 0 in the reply
     */
    record MemberEntries(String zone, long requestedBuckets, List<Member> members)
            implements Message {
        static final MessageCodec<MemberEntries> CODEC =
                MessageCodec.of(
                        10,
                        MemberEntries.class,
                        Overflow.DROP_OLDEST,
                        (entries, out) -> {
                            out.packString(entries.zone);
                            out.packLong(entries.requestedBuckets);
                            MemberFields.writeAll(out, entries.members);
                        },
                        in ->
                                new MemberEntries(
                                        Fields.name(in),
                                        in.unpackLong(),
                                        MemberFields.readAll(in)));
    }
}
