package dev.zinniaring.membership;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.transport.Network;
import dev.zinniaring.transport.Peer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * State shared by the components of the protocol: the member table, the queue of updates to
 * disseminate and this node's own entry. Guarded by the lock of {@link GossipMembership}.
 */
final class MembershipContext {
    private static final Logger log = LoggerFactory.getLogger(MembershipContext.class);

    final Network network;
    final Clock clock;
    final RandomGenerator random;
    final GossipTimings timings;
    final MemberTable table;
    final UpdateQueue updateQueue = new UpdateQueue();
    final LocalHealth health = new LocalHealth();
    final Suspicions suspicions;
    private Member self;
    private ViewSnapshot view;
    private final Map<String, Member> zoneChanges = new HashMap<>();
    private boolean viewOutdated;
    private long refutations;
    private long laterLivesOfSelf;

    MembershipContext(Network network, Clock clock, RandomGenerator random, GossipTimings timings) {
        this.network = network;
        this.clock = clock;
        this.random = random;
        this.timings = timings;
        this.table = new MemberTable(timings.tombstoneRetention());
        this.suspicions = new Suspicions(timings.suspicionTimeout());
        this.self = new Member(network.self(), network.incarnation(), MemberState.ALIVE);
        table.merge(self, now());
        this.view = ViewSnapshot.of(self, table.all());
    }

    Member self() {
        return self;
    }

    Messages.Sender sender() {
        return new Messages.Sender(self.life(), self.incarnation());
    }

    ViewSnapshot view() {
        return view;
    }

    long now() {
        return clock.nanos();
    }

    boolean isLeaving() {
        return self.state() == MemberState.LEFT;
    }

    long refutations() {
        return refutations;
    }

    long laterLivesOfSelf() {
        return laterLivesOfSelf;
    }

    /** Merges an update and queues it for dissemination if it is newer than the known entry. */
    void merge(Member update) {
        if (applyUpdate(update)) {
            updateQueue.add(update);
            if (update.zone().equals(self.zone())) {
                recordZoneChange(update);
            }
        }
    }

    /** Merges updates that the other nodes of the zone already know; does not disseminate them. */
    void mergeWithoutGossip(List<Member> updates) {
        updates.forEach(this::applyUpdate);
    }

    private boolean applyUpdate(Member update) {
        if (update.nodeId().equals(self.nodeId())) {
            mergeSelf(update);
            return false;
        }
        if (!table.merge(update, now())) {
            return false;
        }
        viewOutdated = true;
        if (update.zone().equals(self.zone())) {
            suspicions.update(update, view.zoneSize(), health, now());
        }
        return true;
    }

    void mergeAll(List<Member> updates) {
        updates.forEach(this::merge);
    }

    /**
     * Merges members received in a list exchange. Entries from a node of the same zone repair this
     * node's list and are not disseminated. Entries from another zone are disseminated; a live
     * member of this node's own zone that is unknown here is merged as suspect, because only its
     * own zone can tell whether it is alive.
     */
    void mergeExchanged(Peer from, List<Member> updates) {
        if (from.zone().equals(self.zone())) {
            mergeWithoutGossip(updates);
            return;
        }
        for (Member update : updates) {
            boolean ours = update.zone().equals(self.zone());
            boolean unknown = table.get(update.nodeId()) == null;
            boolean claimed = ours && unknown && update.isLive();
            merge(claimed ? update.with(MemberState.SUSPECT) : update);
        }
    }

    /** Merges the sender of a message as alive. */
    void markAlive(Peer from, Messages.Sender sender) {
        if (!from.nodeId().equals(self.nodeId())) {
            merge(sender.toMember(from));
        }
    }

    /**
     * Sets the state of a member as the result of this node's own failure detection. Does nothing
     * if the entry has changed in the meantime.
     */
    void declare(Member member, MemberState state) {
        Member known = table.get(member.nodeId());
        if (known != null && known.equals(member)) {
            merge(member.with(state));
        }
    }

    void leave() {
        replaceSelf(self.with(MemberState.LEFT));
    }

    /**
     * Returns the updates to include in a datagram to a peer. If the peer itself is not known as
     * alive, its entry comes first, so that the peer can refute it.
     */
    List<Member> updatesFor(String nodeId) {
        List<Member> updates = new ArrayList<>();
        Member known = table.get(nodeId);
        if (known != null && known.state() != MemberState.ALIVE) {
            updates.add(known);
        }
        for (Member update : updateQueue.nextBatch(view.zoneSize())) {
            if (!update.nodeId().equals(nodeId)) {
                updates.add(update);
            }
        }
        return updates;
    }

    /** Returns and clears the changes in this zone that have to be sent to the other zones. */
    List<Member> drainZoneChanges() {
        List<Member> changes = List.copyOf(zoneChanges.values());
        zoneChanges.clear();
        return changes;
    }

    /**
     * Rebuilds and returns the view, or returns null if nothing has changed since the last call.
     */
    @Nullable ViewSnapshot refreshView() {
        if (!viewOutdated) {
            return null;
        }
        viewOutdated = false;
        view = ViewSnapshot.of(self, table.all());
        return view;
    }

    private void mergeSelf(Member update) {
        if (update.life() > self.life()) {
            mergeLaterLife(update);
            return;
        }
        boolean doubted = update.state() != MemberState.ALIVE;
        boolean current = update.sameLife(self) && update.incarnation() >= self.incarnation();
        if (doubted && current && !isLeaving()) {
            refutations++;
            health.recordFailure();
            replaceSelf(self.refuting(update.incarnation()));
        }
    }

    /**
     * Handles an update about a process with this node's id and a higher life. If that process is
     * gone, this VM's clock has stepped back since, and this process takes a still higher life so
     * that the others accept it. If that process is live, two processes share an id; this one keeps
     * its lower life, so the other members ignore its entry.
     */
    private void mergeLaterLife(Member update) {
        laterLivesOfSelf++;
        if (laterLivesOfSelf == 1) {
            log.warn(
                    "received an update about another process with node id {} and later life {};"
                            + " the life of this process is {}",
                    self.nodeId(),
                    update.life(),
                    self.life());
        }
        if (!update.isLive() && !isLeaving()) {
            replaceSelf(new Member(self.peer(), update.life() + 1, MemberState.ALIVE));
        }
    }

    private void replaceSelf(Member newSelf) {
        self = newSelf;
        table.merge(self, now());
        updateQueue.add(self);
        recordZoneChange(self);
        viewOutdated = true;
    }

    /**
     * Records a change to send to the other zones. Suspicions are not sent, because each ends in a
     * refutation or a declaration of death, which is sent.
     */
    private void recordZoneChange(Member member) {
        if (member.state() != MemberState.SUSPECT) {
            zoneChanges.put(member.nodeId(), member);
        }
    }
}
