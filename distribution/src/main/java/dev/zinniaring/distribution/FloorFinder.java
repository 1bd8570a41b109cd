package dev.zinniaring.distribution;

import dev.zinniaring.kernel.EqualJitterBackOff;
import dev.zinniaring.membership.Member;
import dev.zinniaring.transport.Peer;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Determines the floor of a starting node by querying the seeds and, if they do not answer, the
 * platform. If the node is a seed, the same answers confirm it.
 */
final class FloorFinder {
    private static final Duration HEAD_READ_INTERVAL = Duration.ofSeconds(2);
    private static final Duration MAX_HEAD_READ_INTERVAL = Duration.ofSeconds(10);

    private final Context context;
    private final Seeds seeds;
    private final LocalSeed localSeed;
    private final PlatformReader reader;
    private final LongConsumer found;
    private final FloorDecision decision;
    private final EqualJitterBackOff headBackoff;
    private final long nonce;
    private boolean stopped;
    private boolean serving;

    FloorFinder(
            Context context,
            Seeds seeds,
            LocalSeed localSeed,
            PlatformReader reader,
            LongConsumer found) {
        this.context = context;
        this.seeds = seeds;
        this.localSeed = localSeed;
        this.reader = reader;
        this.found = found;
        this.decision = new FloorDecision(seeds);
        this.headBackoff =
                new EqualJitterBackOff(
                        HEAD_READ_INTERVAL, MAX_HEAD_READ_INTERVAL, context.random());
        this.nonce = context.random().nextLong();
    }

    void start() {
        Duration jitter = context.jitter(context.timings().startJitter());
        if (localSeed.unconfirmed()) {
            querySeeds();
            context.after(jitter, this::readHead);
        } else {
            context.after(jitter, this::querySeeds);
            context.after(context.timings().headAfter(), this::readHeadAfterFleetJitter);
        }
    }

    void stop() {
        stopped = true;
    }

    /**
     * Called when a version is active, so that the floor is no longer needed. Ends the queries
     * unless this node is a seed that still needs the answers for its own confirmation.
     */
    void onServing() {
        serving = true;
    }

    void onReply(Peer from, MarkReply reply) {
        if (reply.nonce() == nonce) {
            addReply(Seeds.name(from.controlAddress()), reply);
        }
    }

    void onHead(long number) {
        localSeed.readHead(number);
        decision.readHead(number);
        decide();
    }

    private void querySeeds() {
        if (finished()) {
            return;
        }
        MarkQuery query = new MarkQuery(nonce);
        Map<InetSocketAddress, Peer> known = knownPeers();
        for (String seed : seeds.names()) {
            if (localSeed.isSelf(seed)) {
                localSeed.answer(query).ifPresent(reply -> addReply(seed, reply));
            } else if (!decision.hasReply(seed)) {
                send(known.get(seeds.address(seed)), seeds.address(seed), query);
            }
        }
        Duration retry = context.timings().retry();
        context.after(retry.plus(context.jitter(retry.dividedBy(2))), this::querySeeds);
    }

    /**
     * Sends a datagram if the peer is known: a seed cannot keep a connection to each node of the
     * fleet.
     */
    private void send(@Nullable Peer known, InetSocketAddress seed, MarkQuery query) {
        if (known == null) {
            context.network().send(seed, query);
        } else {
            context.network().sendDatagram(known, query);
        }
    }

    private Map<InetSocketAddress, Peer> knownPeers() {
        Map<InetSocketAddress, Peer> known = new HashMap<>();
        for (Member member : context.view().liveMembers()) {
            known.put(member.peer().controlAddress(), member.peer());
        }
        return known;
    }

    /** Delays the read so that the read rate of a restarted fleet does not grow with its size. */
    private void readHeadAfterFleetJitter() {
        context.after(context.fleetJitter(), this::readHead);
    }

    private void readHead() {
        boolean needed = localSeed.unconfirmed() || decision.floor().isEmpty();
        if (stopped || !needed) {
            return;
        }
        reader.readHead();
        context.after(headBackoff.next(), this::readHead);
    }

    private void addReply(String seed, MarkReply reply) {
        decision.addReply(seed, reply);
        localSeed.addReply(seed, reply);
        decide();
    }

    private void decide() {
        OptionalLong floor = decision.floor();
        if (floor.isPresent()) {
            found.accept(floor.getAsLong());
        }
    }

    private boolean finished() {
        return stopped || serving && !localSeed.unconfirmed();
    }
}
