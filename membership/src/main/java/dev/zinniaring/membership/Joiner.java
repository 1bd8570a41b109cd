package dev.zinniaring.membership;

import dev.zinniaring.membership.Messages.Join;
import dev.zinniaring.membership.Messages.JoinReply;
import dev.zinniaring.transport.BackOff;
import dev.zinniaring.transport.Peer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Joins through seeds until one has told of all members, and again when no other member is left;
 * takes in those that join through this node. Guarded by the lock of {@link GossipMembership}.
 */
final class Joiner {
    private final Core core;
    private final List<InetSocketAddress> seeds;
    private final BackOff backOff;
    private long nextAttemptNanos;
    private boolean joined;

    Joiner(Core core, List<InetSocketAddress> seeds) {
        this.core = core;
        this.seeds = seeds;
        this.backOff = new BackOff(core.timings.joinFirst(), core.timings.joinMax(), core.random);
        this.nextAttemptNanos = core.now();
        this.joined = seeds.isEmpty();
    }

    boolean joined() {
        return joined;
    }

    void tick() {
        long now = core.now();
        boolean isolated = core.view().live().size() == 1 && !seeds.isEmpty();
        if (joined && !isolated) {
            backOff.reset();
            return;
        }
        if (now - nextAttemptNanos < 0) {
            return;
        }
        nextAttemptNanos = now + backOff.next().toNanos();
        InetSocketAddress seed = seeds.get(core.random.nextInt(seeds.size()));
        core.network.send(seed, new Join(core.sender()));
    }

    void onJoin(Peer from, Join join) {
        core.heard(from, join.sender());
        List<Member> members = new ArrayList<>(core.table.all());
        int parts = 1 + (members.size() - 1) / MemberFields.MAX_MEMBERS;
        for (int part = 0; part < parts; part++) {
            int start = part * MemberFields.MAX_MEMBERS;
            int end = Math.min(members.size(), start + MemberFields.MAX_MEMBERS);
            List<Member> some = List.copyOf(members.subList(start, end));
            core.network.send(from, new JoinReply(core.sender(), part == parts - 1, some));
        }
    }

    void onReply(Peer from, JoinReply reply) {
        core.heard(from, reply.sender());
        core.learnAll(reply.members());
        joined |= reply.last();
    }
}
