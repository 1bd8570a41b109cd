package dev.zinniaring.node;

import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.admission.Suspect;
import dev.zinniaring.admission.SuspectCodec;
import dev.zinniaring.membership.Member;
import dev.zinniaring.membership.MemberView;
import dev.zinniaring.membership.Membership;
import dev.zinniaring.transport.Network;
import dev.zinniaring.transport.Peer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Sends the suspect requests that this node knows to its neighbours and to other zones. */
final class SuspectPropagator {
    /** Number of rounds in which the suspects are sent after a change; links may drop messages. */
    private static final int SEND_ROUNDS = 3;

    private final CrashGuard guard;
    private final Membership membership;
    private final Network network;
    private long sentRevision;
    private int roundsLeft;

    /** Start times of the processes that were told all suspects, by node. */
    private Map<String, Long> told = Map.of();

    /** Registers the message handler; the network must not have been started yet. */
    SuspectPropagator(CrashGuard guard, Membership membership, Network network) {
        this.guard = guard;
        this.membership = membership;
        this.network = network;
        network.registerHandler(SuspectBatch.CODEC, (from, batch) -> guard.merge(batch.suspects()));
    }

    CrashGuard guard() {
        return guard;
    }

    /** Sends all suspects if they changed recently. Called periodically, several times a second. */
    synchronized void sendChanges() {
        long revision = guard.revision();
        Set<Peer> targets = targets();
        Map<String, Long> lives = lives(targets);
        if (revision != sentRevision || !told.entrySet().containsAll(lives.entrySet())) {
            sentRevision = revision;
            roundsLeft = SEND_ROUNDS;
        }
        told = lives;
        if (roundsLeft == 0) {
            return;
        }
        roundsLeft--;
        List<Suspect> all = guard.export();
        List<Suspect> sent = all.subList(0, Math.min(all.size(), SuspectCodec.MAX_SUSPECTS));
        SuspectBatch batch = new SuspectBatch(sent);
        targets.forEach(peer -> network.send(peer, batch));
    }

    /**
     * Returns the start time of each node's process; a process that has just started knows none.
     */
    private Map<String, Long> lives(Set<Peer> peers) {
        MemberView view = membership.view();
        Map<String, Long> lives = new HashMap<>();
        for (Peer peer : peers) {
            lives.put(peer.nodeId(), view.member(peer.nodeId()).map(Member::life).orElse(0L));
        }
        return lives;
    }

    private Set<Peer> targets() {
        MemberView view = membership.view();
        TreeMap<String, Peer> peers = new TreeMap<>();
        view.neighbours().forEach(peer -> peers.put(peer.nodeId(), peer));
        for (String zone : view.zones()) {
            boolean other = !zone.equals(view.self().zone());
            if (view.isGateway() || !other) {
                for (Member gateway : view.gateways(zone)) {
                    peers.put(gateway.nodeId(), gateway.peer());
                }
            }
        }
        peers.remove(view.self().nodeId());
        return Set.copyOf(peers.values());
    }
}
