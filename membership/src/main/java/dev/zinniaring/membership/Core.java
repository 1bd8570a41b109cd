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
 * What the parts of the protocol share: the table, what is to be spread, and this node's own entry.
 * Guarded by the lock of {@link GossipMembership}.
 */
final class Core {
    private static final Logger log = LoggerFactory.getLogger(Core.class);

    final Network network;
    final Clock clock;
    final RandomGenerator random;
    final GossipTimings timings;
    final MemberTable table;
    final Piggyback piggyback = new Piggyback();
    final LocalHealth health = new LocalHealth();
    final Suspicions suspicions;
    private Member self;
    private ViewSnapshot view;
    private final Map<String, Member> zoneChanges = new HashMap<>();
    private boolean changed;
    private long refutations;
    private long laterLivesOfSelf;

    Core(Network network, Clock clock, RandomGenerator random, GossipTimings timings) {
        this.network = network;
        this.clock = clock;
        this.random = random;
        this.timings = timings;
        this.table = new MemberTable(timings.memory());
        this.suspicions = new Suspicions(timings.suspicion());
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

    /** Takes a view of a member and spreads it if it is news. */
    void merge(Member update) {
        if (take(update)) {
            piggyback.add(update);
            if (update.zone().equals(self.zone())) {
                noteZoneChange(update);
            }
        }
    }

    /** Takes views of members that the others of the zone know already, without spreading them. */
    void learnAll(List<Member> updates) {
        updates.forEach(this::take);
    }

    private boolean take(Member update) {
        if (update.nodeId().equals(self.nodeId())) {
            mergeSelf(update);
            return false;
        }
        if (!table.merge(update, now())) {
            return false;
        }
        changed = true;
        if (update.zone().equals(self.zone())) {
            suspicions.changed(update, view.zoneSize(), health, now());
        }
        return true;
    }

    void mergeAll(List<Member> updates) {
        updates.forEach(this::merge);
    }

    /**
     * Takes members from the exchange of lists. From a node of our own zone they are a repair. From
     * another zone they are news here, except that a member of our own zone that we do not know is
     * put under suspicion, because only its own zone can tell whether it lives.
     */
    void mergeFrom(Peer from, List<Member> updates) {
        if (from.zone().equals(self.zone())) {
            learnAll(updates);
            return;
        }
        for (Member update : updates) {
            boolean ours = update.zone().equals(self.zone());
            boolean unknown = table.get(update.nodeId()) == null;
            boolean claimed = ours && unknown && update.live();
            merge(claimed ? update.with(MemberState.SUSPECT) : update);
        }
    }

    /** Takes the sender of a message as alive. */
    void heard(Peer from, Messages.Sender sender) {
        if (!from.nodeId().equals(self.nodeId())) {
            merge(sender.as(from));
        }
    }

    /** Changes what is believed of a member, on this node's own account. */
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
     * Returns the updates for a datagram to a peer. If others doubt the peer, that comes first, so
     * that it can refute.
     */
    List<Member> updatesFor(String nodeId) {
        List<Member> updates = new ArrayList<>();
        Member known = table.get(nodeId);
        if (known != null && known.state() != MemberState.ALIVE) {
            updates.add(known);
        }
        for (Member update : piggyback.take(view.zoneSize())) {
            if (!update.nodeId().equals(nodeId)) {
                updates.add(update);
            }
        }
        return updates;
    }

    /** Returns and forgets what changed in this zone and concerns the others. */
    List<Member> takeZoneChanges() {
        List<Member> changes = List.copyOf(zoneChanges.values());
        zoneChanges.clear();
        return changes;
    }

    /** Returns a new view if anything changed since the last call. */
    @Nullable ViewSnapshot refresh() {
        if (!changed) {
            return null;
        }
        changed = false;
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
            health.worse();
            replaceSelf(self.refuting(update.incarnation()));
        }
    }

    /**
     * Handles news of a process with this node's id that started later by its clock. If that one is
     * gone, this VM's clock has stepped back since, and this process takes an even later life to be
     * accepted. If it is alive, two processes share an id, and this one stays out.
     */
    private void mergeLaterLife(Member update) {
        laterLivesOfSelf++;
        if (laterLivesOfSelf == 1) {
            log.warn(
                    "a process ran as {} with the later life {}; this one has {}",
                    self.nodeId(),
                    update.life(),
                    self.life());
        }
        if (!update.live() && !isLeaving()) {
            replaceSelf(new Member(self.peer(), update.life() + 1, MemberState.ALIVE));
        }
    }

    private void replaceSelf(Member newSelf) {
        self = newSelf;
        table.merge(self, now());
        piggyback.add(self);
        noteZoneChange(self);
        changed = true;
    }

    /** Suspicions stay in the zone: they end in a refutation or a death, which both travel. */
    private void noteZoneChange(Member member) {
        if (member.state() != MemberState.SUSPECT) {
            zoneChanges.put(member.nodeId(), member);
        }
    }
}
