package dev.zinniaring.membership;

import dev.zinniaring.membership.Messages.Ack;
import dev.zinniaring.membership.Messages.MemberUpdate;
import dev.zinniaring.membership.Messages.Ping;
import dev.zinniaring.membership.Messages.PingRequest;
import dev.zinniaring.transport.Peer;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Probes one member of this node's availability zone per period, first directly and then through
 * helpers (indirect probes), and suspects a member that answers neither. Also disseminates queued
 * updates. Guarded by the lock of {@link GossipMembership}.
 */
final class Prober {
    private static final int MAX_HELPERS = 3;
    private static final int GOSSIP_FANOUT = 3;
    private static final int MAX_RELAYED_PINGS = 256;

    private final MembershipContext context;
    private final ProbeOrder order;
    private final Map<Long, RelayedPing> relayedPings = new LinkedHashMap<>();
    private @Nullable Probe probe;
    private long nextNumber;
    private long nextProbeNanos;
    private long nextGossipNanos;

    /** The probe in progress. */
    private static final class Probe {
        private final long number;
        private final Member target;
        private final long startNanos;
        private boolean helpersAsked;
        private boolean helperAnswered;
        private boolean helperFound;

        Probe(long number, Member target, long startNanos) {
            this.number = number;
            this.target = target;
            this.startNanos = startNanos;
        }
    }

    /** A ping sent on behalf of another node. */
    private record RelayedPing(Peer requester, long number, long expiryNanos) {}

    Prober(MembershipContext context) {
        this.context = context;
        this.order = new ProbeOrder(context.random);
        this.nextNumber = context.random.nextInt();
        // A random offset keeps nodes that start together from probing at the same time.
        long period = context.timings.probePeriod().toNanos();
        this.nextProbeNanos = context.now() + context.random.nextLong(period);
        this.nextGossipNanos = context.now();
    }

    void tick() {
        long now = context.now();
        relayedPings.values().removeIf(relayed -> now - relayed.expiryNanos >= 0);
        if (probe != null && !probe.helpersAsked && directTimeoutElapsed(probe, now)) {
            askHelpers(probe);
        }
        if (now - nextProbeNanos >= 0) {
            finishProbe();
            nextProbeNanos = now + context.health.stretchNanos(context.timings.probePeriod());
            startProbe(now);
        }
        for (Member member : context.suspicions.expired(now)) {
            context.declare(member, MemberState.DEAD);
        }
        if (now - nextGossipNanos >= 0) {
            nextGossipNanos = now + context.timings.gossipPeriod().toNanos();
            sendGossip();
        }
    }

    /**
     * Handles the end of a pause of this process: discards the probe in progress, whose answer may
     * still be unread, and extends all suspicions by the length of the pause.
     */
    void onResume(long pausedNanos) {
        probe = null;
        context.health.recordPause();
        context.suspicions.extendDeadlines(pausedNanos);
        nextProbeNanos = context.now() + context.timings.probePeriod().toNanos();
    }

    void onPing(Peer from, Ping ping) {
        context.markAlive(from, ping.sender());
        context.mergeAll(ping.updates());
        if (!ping.targetId().equals(context.self().nodeId())) {
            return;
        }
        Ack ack =
                new Ack(
                        ping.number(),
                        context.self().nodeId(),
                        context.self().life(),
                        context.sender(),
                        context.updatesFor(from.nodeId()));
        context.network.sendDatagram(from, ack);
    }

    void onPingRequest(Peer from, PingRequest request) {
        context.markAlive(from, request.sender());
        context.mergeAll(request.updates());
        Ack helperAck =
                new Ack(
                        request.number(),
                        context.self().nodeId(),
                        Ack.HELPER_STARTED,
                        context.sender(),
                        context.updatesFor(from.nodeId()));
        context.network.sendDatagram(from, helperAck);
        long number = nextNumber++;
        long expiry = context.now() + context.timings.probePeriod().toNanos();
        relayedPings.put(number, new RelayedPing(from, request.number(), expiry));
        Iterator<Long> oldestFirst = relayedPings.keySet().iterator();
        if (relayedPings.size() > MAX_RELAYED_PINGS) {
            oldestFirst.next();
            oldestFirst.remove();
        }
        ping(number, request.target());
    }

    void onAck(Peer from, Ack ack) {
        context.markAlive(from, ack.sender());
        context.mergeAll(ack.updates());
        RelayedPing relayed = relayedPings.remove(ack.number());
        if (relayed != null) {
            relayAck(relayed, ack);
            return;
        }
        if (probe == null || probe.number != ack.number()) {
            return;
        }
        if (ack.answererLife() == Ack.HELPER_STARTED) {
            probe.helperAnswered = true;
        } else if (isAnswer(ack, probe.target)) {
            probe = null;
            context.health.recordSuccess();
        }
    }

    void onUpdate(Peer from, MemberUpdate update) {
        context.markAlive(from, update.sender());
        context.mergeAll(update.updates());
    }

    /** Pings a member outside of the probe order, such as one that was declared dead. */
    void ping(Peer target) {
        ping(nextNumber++, target);
    }

    private boolean directTimeoutElapsed(Probe current, long now) {
        long limit = context.health.stretchNanos(context.timings.directTimeout());
        return now - current.startNanos >= limit;
    }

    private void startProbe(long now) {
        probe = null;
        order.next(context.view().othersInZone())
                .ifPresent(
                        target -> {
                            probe = new Probe(nextNumber++, target, now);
                            ping(probe.number, target.peer());
                        });
    }

    private void askHelpers(Probe current) {
        current.helpersAsked = true;
        List<Member> helpers =
                order.sample(context.view().othersInZone(), MAX_HELPERS, current.target.nodeId());
        current.helperFound = !helpers.isEmpty();
        for (Member helper : helpers) {
            PingRequest request =
                    new PingRequest(
                            current.number,
                            current.target.peer(),
                            context.sender(),
                            context.updatesFor(helper.nodeId()));
            context.network.sendDatagram(helper.peer(), request);
        }
    }

    /** Ends the current probe, if it is unanswered, and suspects its target. */
    private void finishProbe() {
        Probe unanswered = probe;
        if (unanswered == null) {
            return;
        }
        probe = null;
        if (unanswered.helperFound && !unanswered.helperAnswered) {
            context.health.recordFailure();
        }
        context.table
                .find(unanswered.target.nodeId())
                .filter(unanswered.target::sameLife)
                .filter(known -> known.state() == MemberState.ALIVE)
                .ifPresent(this::suspect);
    }

    private void suspect(Member member) {
        context.declare(member, MemberState.SUSPECT);
        ping(member.peer());
    }

    private void sendGossip() {
        if (context.updateQueue.isEmpty()) {
            return;
        }
        List<Member> targets = order.sample(context.view().othersInZone(), GOSSIP_FANOUT, "");
        for (Member target : targets) {
            List<Member> updates = context.updatesFor(target.nodeId());
            if (!updates.isEmpty()) {
                context.network.sendDatagram(
                        target.peer(), new MemberUpdate(context.sender(), updates));
            }
        }
    }

    private void ping(long number, Peer target) {
        Ping ping =
                new Ping(
                        number,
                        target.nodeId(),
                        context.sender(),
                        context.updatesFor(target.nodeId()));
        context.network.sendDatagram(target, ping);
    }

    private void relayAck(RelayedPing relayed, Ack ack) {
        Ack relayedAck =
                new Ack(
                        relayed.number,
                        ack.answererId(),
                        ack.answererLife(),
                        context.sender(),
                        context.updatesFor(relayed.requester.nodeId()));
        context.network.sendDatagram(relayed.requester, relayedAck);
    }

    private static boolean isAnswer(Ack ack, Member target) {
        return ack.answererId().equals(target.nodeId()) && ack.answererLife() == target.life();
    }
}
