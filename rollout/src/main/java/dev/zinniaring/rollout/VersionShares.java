package dev.zinniaring.rollout;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.ClockReading;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Decides at one node which versions of a service may get a call, by what the deciding node says,
 * and counts the outcomes that it needs. Without a recent answer, a version whose roll-out is under
 * way gets nothing, so that a node that is cut off cannot go on exposing calls to it. Not
 * thread-safe.
 */
public final class VersionShares {
    /** Time for which an answer of the deciding node is followed. */
    private static final long ANSWER_VALID_MILLIS = 1_500;

    private final Clock clock;
    private final RandomGenerator random;
    private final boolean enabled;
    private final Map<String, VersionSplit> splits = new HashMap<>();
    private Map<String, Map<String, VersionOutcomes>> outcomes = new HashMap<>();
    private @Nullable ClockReading asked;

    /**
     * Creates the shares of a node that knows of no roll-out.
     *
     * @param enabled whether a node decides about roll-outs, which this one is to hear from
     */
    public VersionShares(Clock clock, RandomGenerator random, boolean enabled) {
        this.clock = clock;
        this.random = random;
        this.enabled = enabled;
    }

    /** Returns whether this node has yet to hear from the deciding node for the first time. */
    public boolean undecided() {
        return enabled && asked == null;
    }

    /** Returns how the calls of a service are divided, or null if it has no roll-out. */
    public @Nullable VersionSplit split(String service) {
        return splits.get(service);
    }

    /** Returns the new version if the next call of a service is for it, or null otherwise. */
    public @Nullable String chosen(String service) {
        VersionSplit split = splits.get(service);
        if (split == null) {
            return null;
        }
        return random.nextDouble() < share(split) ? split.target() : null;
    }

    private double share(VersionSplit split) {
        if (split.state() == RolloutState.RUNNING) {
            return answeredLately() ? split.share() : 0;
        }
        return split.share();
    }

    private boolean answeredLately() {
        ClockReading last = asked;
        return last != null && last.ageMillis(clock) < ANSWER_VALID_MILLIS;
    }

    /** Returns the fraction of a service's calls that its new version gets here, 0 if unknown. */
    public double share(String service) {
        VersionSplit split = splits.get(service);
        return split == null ? 0 : share(split);
    }

    /** Counts the outcome of a call that ran, if the service's roll-out is under way. */
    public void ran(String service, String version, String route, boolean bad) {
        VersionSplit split = splits.get(service);
        if (split == null || split.state() != RolloutState.RUNNING) {
            return;
        }
        int badCalls = bad ? 1 : 0;
        VersionOutcomes one =
                split.target().equals(version)
                        ? new VersionOutcomes(1, badCalls, 0, 0)
                        : new VersionOutcomes(0, 0, 1, badCalls);
        outcomes.computeIfAbsent(service, name -> new HashMap<>())
                .merge(route, one, VersionOutcomes::plus);
    }

    /** Returns the outcomes since the last call of this method, by service and route. */
    public Map<String, Map<String, VersionOutcomes>> takeOutcomes() {
        Map<String, Map<String, VersionOutcomes>> taken = outcomes;
        outcomes = new HashMap<>();
        return taken;
    }

    /**
     * Records an answer of the deciding node. What it says of a service holds until it says
     * something else of it, since a deciding node that takes over may not know all orders yet.
     *
     * @param askedAt moment at which it was asked
     */
    public void answered(ClockReading askedAt, Map<String, VersionSplit> newSplits) {
        asked = askedAt;
        splits.putAll(newSplits);
    }

    /** Returns what this node knows of all roll-outs. */
    public Map<String, VersionSplit> splits() {
        return Map.copyOf(splits);
    }
}
