package dev.zinniaring.distribution;

import dev.zinniaring.kernel.BackOff;
import dev.zinniaring.membership.Member;
import dev.zinniaring.transport.Peer;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;

/** Asks the seeds, and failing them the platform, for a starting node's floor. */
final class FloorFinder {
    private static final Duration HEAD_READ = Duration.ofSeconds(2);
    private static final Duration MAX_HEAD_READ = Duration.ofSeconds(10);

    private final Context context;
    private final Seeds seeds;
    private final SeedDesk desk;
    private final HeadReader reader;
    private final LongConsumer found;
    private final FloorDecision decision;
    private final BackOff headBackoff;
    private final long nonce;
    private boolean stopped;
    private boolean served;

    FloorFinder(
            Context context, Seeds seeds, SeedDesk desk, HeadReader reader, LongConsumer found) {
        this.context = context;
        this.seeds = seeds;
        this.desk = desk;
        this.reader = reader;
        this.found = found;
        this.decision = new FloorDecision(seeds);
        this.headBackoff = new BackOff(HEAD_READ, MAX_HEAD_READ, context.random());
        this.nonce = context.random().nextLong();
    }

    void start() {
        Duration jitter = context.jitter(context.timings().startJitter());
        if (desk.unconfirmed()) {
            ask();
            context.after(jitter, this::readHead);
        } else {
            context.after(jitter, this::ask);
            context.after(context.timings().headAfter(), this::readHeadInTurn);
        }
    }

    void stop() {
        stopped = true;
    }

    /** A version is in force; the floor needs no further answers. */
    void served() {
        served = true;
    }

    void onReply(Peer from, MarkReply reply) {
        if (reply.nonce() == nonce) {
            heard(Seeds.name(from.controlAddress()), reply);
        }
    }

    void head(long number) {
        desk.readHead(number);
        decision.readHead(number);
        decide();
    }

    private void ask() {
        if (finished()) {
            return;
        }
        MarkQuery query = new MarkQuery(nonce);
        Map<InetSocketAddress, Peer> known = knownPeers();
        for (String seed : seeds.names()) {
            if (desk.isSelf(seed)) {
                desk.answer(query).ifPresent(reply -> heard(seed, reply));
            } else if (!decision.has(seed)) {
                send(known.get(seeds.address(seed)), seeds.address(seed), query);
            }
        }
        Duration retry = context.timings().retry();
        context.after(retry.plus(context.jitter(retry.dividedBy(2))), this::ask);
    }

    /** Uses a datagram if it can: a seed cannot keep a link with each node of the fleet. */
    private void send(@Nullable Peer known, InetSocketAddress seed, MarkQuery query) {
        if (known == null) {
            context.network().send(seed, query);
        } else {
            context.network().datagram(known, query);
        }
    }

    private Map<InetSocketAddress, Peer> knownPeers() {
        Map<InetSocketAddress, Peer> known = new HashMap<>();
        for (Member member : context.view().live()) {
            known.put(member.peer().controlAddress(), member.peer());
        }
        return known;
    }

    /** Spreads the reads of a restarted fleet, so that their rate does not grow with its size. */
    private void readHeadInTurn() {
        context.after(context.turn(), this::readHead);
    }

    private void readHead() {
        boolean needed = desk.unconfirmed() || decision.floor().isEmpty();
        if (stopped || !needed) {
            return;
        }
        reader.readHead();
        context.after(headBackoff.next(), this::readHead);
    }

    private void heard(String seed, MarkReply reply) {
        decision.heard(seed, reply);
        desk.heard(seed, reply);
        decide();
    }

    private void decide() {
        OptionalLong floor = decision.floor();
        if (floor.isPresent()) {
            found.accept(floor.getAsLong());
        }
    }

    private boolean finished() {
        return stopped || served && !desk.unconfirmed();
    }
}
