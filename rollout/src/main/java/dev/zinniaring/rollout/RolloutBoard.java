package dev.zinniaring.rollout;

import dev.zinniaring.kernel.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The roll-outs of all services at the node that decides about them. It keeps no state of its own
 * beyond the evidence: orders and states are in the store, where the next deciding node finds them.
 * Not thread-safe.
 */
public final class RolloutBoard {
    private final Clock clock;
    private final double exposureShare;
    private final Map<String, Entry> byService = new TreeMap<>();

    /** A state to be written to the store, of the order that was written at a revision. */
    public record StateChange(
            RolloutOrder order, long orderRevision, RolloutState state, String explanation) {}

    private static final class Entry {
        private final RolloutDecider decider;
        private final long orderRevision;
        private final @Nullable VersionSplit ended;
        private @Nullable RolloutState recorded;

        Entry(RolloutDecider decider, long orderRevision, @Nullable VersionSplit ended) {
            this.decider = decider;
            this.orderRevision = orderRevision;
            this.ended = ended;
        }

        VersionSplit split() {
            VersionSplit known = ended;
            return known == null ? decider.decide() : known;
        }
    }

    /**
     * Creates a board without orders.
     *
     * @param exposureShare largest fraction of a service's calls that a bad version may get
     */
    public RolloutBoard(Clock clock, double exposureShare) {
        this.clock = clock;
        this.exposureShare = exposureShare;
    }

    /**
     * Adds an order; it replaces an earlier one for the same service.
     *
     * @param revision revision of the store at which the order was written
     * @param recorded state that the store has for this order, or null if it has none
     */
    public void order(RolloutOrder order, long revision, @Nullable RolloutState recorded) {
        Entry known = byService.get(order.service());
        if (known != null && known.orderRevision >= revision) {
            return;
        }
        VersionSplit ended =
                recorded == null || !recorded.ended()
                        ? null
                        : new VersionSplit(
                                order.target(),
                                recorded == RolloutState.COMPLETED ? 1 : 0,
                                recorded);
        Entry entry = new Entry(new RolloutDecider(order, exposureShare, clock), revision, ended);
        entry.recorded = recorded;
        byService.put(order.service(), entry);
    }

    /** Forgets the order of a service, which was withdrawn. */
    public void withdraw(String service) {
        byService.remove(service);
    }

    /** Adds the outcomes of calls at a node, by service and route. */
    public void observe(Map<String, Map<String, VersionOutcomes>> outcomes) {
        outcomes.forEach(
                (service, byRoute) -> {
                    Entry entry = byService.get(service);
                    if (entry != null) {
                        entry.decider.observe(byRoute);
                    }
                });
    }

    /** Returns how the calls of each service with an order are to be divided now. */
    public Map<String, VersionSplit> splits() {
        Map<String, VersionSplit> splits = new HashMap<>();
        byService.forEach((service, entry) -> splits.put(service, entry.split()));
        return splits;
    }

    /** Returns the states that the store does not have yet. */
    public Collection<StateChange> unrecorded() {
        List<StateChange> changes = new ArrayList<>();
        byService.forEach(
                (service, entry) -> {
                    RolloutState state = entry.split().state();
                    if (state != entry.recorded) {
                        changes.add(
                                new StateChange(
                                        entry.decider.order(),
                                        entry.orderRevision,
                                        state,
                                        entry.decider.explanation()));
                    }
                });
        return changes;
    }

    /** Records that the store has a state. */
    public void recorded(StateChange change) {
        Entry entry = byService.get(change.order().service());
        if (entry != null && entry.orderRevision == change.orderRevision()) {
            entry.recorded = change.state();
        }
    }
}
