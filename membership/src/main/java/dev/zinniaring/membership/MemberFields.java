package dev.zinniaring.membership;

import dev.zinniaring.transport.Fields;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes members and member lists. */
final class MemberFields {
    /** Largest number of members in one message; longer lists are split over several messages. */
    static final int MAX_MEMBERS = 1_000;

    private static final int MAX_ENCODED_BYTES_WITHOUT_NAMES = 50;
    private static final MemberState[] STATES = MemberState.values();

    private MemberFields() {}

    static void write(MessagePacker out, Member member) throws IOException {
        Fields.peer(out, member.peer());
        out.packLong(member.life());
        out.packLong(member.incarnation() - member.life());
        out.packInt(member.state().ordinal());
    }

    static Member read(MessageUnpacker in) throws IOException {
        var peer = Fields.peer(in);
        long life = in.unpackLong();
        long incarnation = life + in.unpackLong();
        int state = in.unpackInt();
        if (state < 0 || state >= STATES.length) {
            throw new IOException("member state " + state + " is unknown");
        }
        return new Member(peer, incarnation, STATES[state], life);
    }

    static void writeAll(MessagePacker out, List<Member> members) throws IOException {
        out.packArrayHeader(members.size());
        for (Member member : members) {
            write(out, member);
        }
    }

    static List<Member> readAll(MessageUnpacker in) throws IOException {
        int count = Fields.count(in, MAX_MEMBERS);
        List<Member> members = new ArrayList<>(Math.min(count, 64));
        for (int i = 0; i < count; i++) {
            members.add(read(in));
        }
        return List.copyOf(members);
    }

    /** Returns an upper bound of the encoded size in bytes, for ASCII names. */
    static int maxEncodedBytes(Member member) {
        return MAX_ENCODED_BYTES_WITHOUT_NAMES + member.nodeId().length() + member.zone().length();
    }
}
