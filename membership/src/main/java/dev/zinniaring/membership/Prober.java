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
 * Probes one member of the own zone per period, directly and then through helpers, and suspects a
 * member that stays silent. Guarded by the lock of {@link GossipMembership}.
 */
final class Prober {
    private static final int HELPERS = 3;
    private static final int GOSSIP_TARGETS = 3;
    private static final int MAX_FORWARDS = 256;

    private final Core core;
    private final ProbeOrder order;
    private final Map<Long, Forward> forwards = new LinkedHashMap<>();
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

    /** A ping on behalf of another node. */
    private record Forward(Peer requester, long number, long expiryNanos) {}

    Prober(Core core) {
        this.core = core;
        this.order = new ProbeOrder(core.random);
        this.nextNumber = core.random.nextInt();
        // Nodes that start together probe at different times.
        long period = core.timings.probePeriod().toNanos();
        this.nextProbeNanos = core.now() + core.random.nextLong(period);
        this.nextGossipNanos = core.now();
    }

    void tick() {
        long now = core.now();
        forwards.values().removeIf(forward -> now - forward.expiryNanos >= 0);
        if (probe != null && !probe.helpersAsked && isOver(probe, now)) {
            askHelpers(probe);
        }
        if (now - nextProbeNanos >= 0) {
            finish();
            nextProbeNanos = now + core.health.stretchNanos(core.timings.probePeriod());
            begin(now);
        }
        for (Member member : core.suspicions.expired(now)) {
            core.declare(member, MemberState.DEAD);
        }
        if (now - nextGossipNanos >= 0) {
            nextGossipNanos = now + core.timings.gossipPeriod().toNanos();
            gossip();
        }
    }

    /** Forgets the probe in progress, whose answer may wait unread, after a pause. */
    void resumed(long pausedNanos) {
        probe = null;
        core.health.paused();
        core.suspicions.extend(pausedNanos);
        nextProbeNanos = core.now() + core.timings.probePeriod().toNanos();
    }

    void onPing(Peer from, Ping ping) {
        core.heard(from, ping.sender());
        core.mergeAll(ping.updates());
        if (!ping.targetId().equals(core.self().nodeId())) {
            return;
        }
        Ack ack =
                new Ack(
                        ping.number(),
                        core.self().nodeId(),
                        core.self().life(),
                        core.sender(),
                        core.updatesFor(from.nodeId()));
        core.network.datagram(from, ack);
    }

    void onPingRequest(Peer from, PingRequest request) {
        core.heard(from, request.sender());
        core.mergeAll(request.updates());
        Ack helping =
                new Ack(
                        request.number(),
                        core.self().nodeId(),
                        Ack.HELPING,
                        core.sender(),
                        core.updatesFor(from.nodeId()));
        core.network.datagram(from, helping);
        long number = nextNumber++;
        long expiry = core.now() + core.timings.probePeriod().toNanos();
        forwards.put(number, new Forward(from, request.number(), expiry));
        Iterator<Long> oldestFirst = forwards.keySet().iterator();
        if (forwards.size() > MAX_FORWARDS) {
            oldestFirst.next();
            oldestFirst.remove();
        }
        ping(number, request.target());
    }

    void onAck(Peer from, Ack ack) {
        core.heard(from, ack.sender());
        core.mergeAll(ack.updates());
        Forward forward = forwards.remove(ack.number());
        if (forward != null) {
            forward(forward, ack);
            return;
        }
        if (probe == null || probe.number != ack.number()) {
            return;
        }
        if (ack.answererLife() == Ack.HELPING) {
            probe.helperAnswered = true;
        } else if (isAnswer(ack, probe.target)) {
            probe = null;
            core.health.better();
        }
    }

    void onUpdate(Peer from, MemberUpdate update) {
        core.heard(from, update.sender());
        core.mergeAll(update.updates());
    }

    /** Pings a member outside of the probe order, such as one that is believed to be dead. */
    void ping(Peer target) {
        ping(nextNumber++, target);
    }

    private boolean isOver(Probe current, long now) {
        long limit = core.health.stretchNanos(core.timings.directTimeout());
        return now - current.startNanos >= limit;
    }

    private void begin(long now) {
        probe = null;
        order.next(core.view().othersInZone())
                .ifPresent(
                        target -> {
                            probe = new Probe(nextNumber++, target, now);
                            ping(probe.number, target.peer());
                        });
    }

    private void askHelpers(Probe current) {
        current.helpersAsked = true;
        List<Member> helpers =
                order.some(core.view().othersInZone(), HELPERS, current.target.nodeId());
        current.helperFound = !helpers.isEmpty();
        for (Member helper : helpers) {
            PingRequest request =
                    new PingRequest(
                            current.number,
                            current.target.peer(),
                            core.sender(),
                            core.updatesFor(helper.nodeId()));
            core.network.datagram(helper.peer(), request);
        }
    }

    /** Ends a probe that has not been answered. */
    private void finish() {
        Probe silent = probe;
        if (silent == null) {
            return;
        }
        probe = null;
        if (silent.helperFound && !silent.helperAnswered) {
            core.health.worse();
        }
        core.table
                .find(silent.target.nodeId())
                .filter(silent.target::sameLife)
                .filter(known -> known.state() == MemberState.ALIVE)
                .ifPresent(this::suspect);
    }

    private void suspect(Member member) {
        core.declare(member, MemberState.SUSPECT);
        ping(member.peer());
    }

    private void gossip() {
        if (core.piggyback.isEmpty()) {
            return;
        }
        List<Member> targets = order.some(core.view().othersInZone(), GOSSIP_TARGETS, "");
        for (Member target : targets) {
            List<Member> updates = core.updatesFor(target.nodeId());
            if (!updates.isEmpty()) {
                core.network.datagram(target.peer(), new MemberUpdate(core.sender(), updates));
            }
        }
    }

    private void ping(long number, Peer target) {
        Ping ping =
                new Ping(number, target.nodeId(), core.sender(), core.updatesFor(target.nodeId()));
        core.network.datagram(target, ping);
    }

    private void forward(Forward forward, Ack ack) {
        Ack passedOn =
                new Ack(
                        forward.number,
                        ack.answererId(),
                        ack.answererLife(),
                        core.sender(),
                        core.updatesFor(forward.requester.nodeId()));
        core.network.datagram(forward.requester, passedOn);
    }

    private static boolean isAnswer(Ack ack, Member target) {
        return ack.answererId().equals(target.nodeId()) && ack.answererLife() == target.life();
    }
}
