package dev.zinniaring.admission;

import com.google.common.hash.Hashing;
import dev.zinniaring.kernel.Clock;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Finds the node that remembers an idempotency key, by rendezvous hash over the nodes of a service,
 * and since when a node has been the home of a key.
 */
public final class KeyHomes {
    private record State(Set<String> nodeIds, Map<String, Long> joined, Map<String, Long> left) {}

    private final Clock clock;
    private final long memoryNanos;
    private final AtomicReference<State> state =
            new AtomicReference<>(new State(Set.of(), Map.of(), Map.of()));

    /** Creates homes that remember nodes that left for {@code memory}, the keys' time to live. */
    public KeyHomes(Clock clock, Duration memory) {
        this.clock = clock;
        this.memoryNanos = memory.toNanos();
    }

    /** Sets the nodes of the service's backend servers. */
    public void update(Collection<String> nodeIds) {
        Set<String> present = Set.copyOf(nodeIds);
        while (true) {
            State before = state();
            if (state.compareAndSet(before, after(before, present))) {
                return;
            }
        }
    }

    /** Returns the home of a key, or empty if the service has no node. */
    public Optional<String> home(String key) {
        String best = null;
        long bestWeight = 0;
        for (String nodeId : state().nodeIds()) {
            long weight = weight(nodeId, key);
            if (best == null || heavier(nodeId, weight, best, bestWeight)) {
                best = nodeId;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the reading of the clock since when {@code nodeId} has been the home of a key, as far
     * as is known here. Only nodes that would be preferred for the key and left lately count.
     */
    public long homeSinceNanos(String nodeId, String key) {
        State present = state();
        long nowNanos = clock.nanos();
        Long joinedNanos = present.joined().get(nodeId);
        if (joinedNanos == null) {
            return nowNanos;
        }
        long sinceNanos = joinedNanos;
        long ownWeight = weight(nodeId, key);
        for (Map.Entry<String, Long> other : present.left().entrySet()) {
            boolean preferred =
                    heavier(other.getKey(), weight(other.getKey(), key), nodeId, ownWeight);
            if (preferred && other.getValue() - sinceNanos > 0) {
                sinceNanos = other.getValue();
            }
        }
        return sinceNanos;
    }

    private State after(State before, Set<String> present) {
        long nowNanos = clock.nanos();
        Map<String, Long> joined = new HashMap<>();
        for (String nodeId : present) {
            joined.put(nodeId, before.joined().getOrDefault(nodeId, nowNanos));
        }
        Map<String, Long> left = new HashMap<>(before.left());
        left.values().removeIf(leftNanos -> nowNanos - leftNanos >= memoryNanos);
        for (String nodeId : before.nodeIds()) {
            if (!present.contains(nodeId)) {
                left.put(nodeId, nowNanos);
            }
        }
        return new State(present, Map.copyOf(joined), Map.copyOf(left));
    }

    private static boolean heavier(String nodeId, long weight, String other, long otherWeight) {
        if (weight != otherWeight) {
            return weight > otherWeight;
        }
        return nodeId.compareTo(other) > 0;
    }

    private static long weight(String nodeId, String key) {
        return Hashing.murmur3_128()
                .newHasher()
                .putInt(nodeId.length())
                .putString(nodeId, StandardCharsets.UTF_8)
                .putString(key, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    private State state() {
        return Objects.requireNonNull(state.get());
    }
}
