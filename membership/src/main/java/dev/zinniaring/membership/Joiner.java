package dev.zinniaring.membership;

import dev.zinniaring.membership.Messages.Join;
import dev.zinniaring.membership.Messages.JoinReply;
import dev.zinniaring.transport.FullJitterBackOff;
import dev.zinniaring.transport.Peer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Joins the mesh through random seeds until one has sent the complete member list, and joins again
 * when no other live member is left. Answers join requests of other nodes. Guarded by the lock of
 * {@link GossipMembership}.
 */
final class Joiner {
    private final MembershipContext context;
    private final List<InetSocketAddress> seeds;
    private final FullJitterBackOff backOff;
    private long nextAttemptNanos;
    private boolean joined;

    Joiner(MembershipContext context, List<InetSocketAddress> seeds) {
        this.context = context;
        this.seeds = seeds;
        this.backOff =
                new FullJitterBackOff(
                        context.timings.initialJoinBackoff(),
                        context.timings.maxJoinBackoff(),
                        context.random);
        this.nextAttemptNanos = context.now();
        this.joined = seeds.isEmpty();
    }

    boolean joined() {
        return joined;
    }

    void tick() {
        long now = context.now();
        boolean isolated = context.view().liveMembers().size() == 1 && !seeds.isEmpty();
        if (joined && !isolated) {
            backOff.reset();
            return;
        }
        if (now - nextAttemptNanos < 0) {
            return;
        }
        nextAttemptNanos = now + backOff.next().toNanos();
        InetSocketAddress seed = seeds.get(context.random.nextInt(seeds.size()));
        context.network.send(seed, new Join(context.sender()));
    }

    void onJoin(Peer from, Join join) {
        context.markAlive(from, join.sender());
        List<Member> members = new ArrayList<>(context.table.all());
        int chunks = 1 + (members.size() - 1) / MemberFields.MAX_MEMBERS;
        for (int chunkIndex = 0; chunkIndex < chunks; chunkIndex++) {
            int start = chunkIndex * MemberFields.MAX_MEMBERS;
            int end = Math.min(members.size(), start + MemberFields.MAX_MEMBERS);
            List<Member> chunk = List.copyOf(members.subList(start, end));
            context.network.send(
                    from, new JoinReply(context.sender(), chunkIndex == chunks - 1, chunk));
        }
    }

    void onReply(Peer from, JoinReply reply) {
        context.markAlive(from, reply.sender());
        context.mergeWithoutGossip(reply.members());
        joined |= reply.last();
    }
}
