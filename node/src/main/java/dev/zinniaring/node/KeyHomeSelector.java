package dev.zinniaring.node;

import com.google.common.hash.Hashing;
import dev.zinniaring.distribution.EndpointView;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the home node of an idempotency key: the one with the highest rendezvous hash among the
 * nodes that have backend servers of the service. Also tracks since when this node has been the
 * home of a key, and thus whether it knows every use of it.
 */
final class KeyHomeSelector {
    /**
     * Maximum number of node sets kept for a service. With older sets dropped, the time since when
     * this node has been a home may be underestimated.
     */
    private static final int MAX_HISTORY = 256;

    private final String ownNodeId;
    private final Clock clock;
    private final Map<String, Deque<Nodes>> history = new HashMap<>();

    private record Nodes(Set<String> ids, long sinceNanos) {}

    KeyHomeSelector(String ownNodeId, Clock clock) {
        this.ownNodeId = ownNodeId;
        this.clock = clock;
    }

    /** Returns the id of the home node of a key, or null if the set of nodes is empty. */
    static @Nullable String choose(Set<String> nodeIds, String key) {
        String best = null;
        long bestWeight = 0;
        for (String nodeId : nodeIds) {
            long weight =
                    Hashing.murmur3_128()
                            .newHasher()
                            .putInt(nodeId.length())
                            .putString(nodeId, StandardCharsets.UTF_8)
                            .putString(key, StandardCharsets.UTF_8)
                            .hash()
                            .asLong();
            if (best == null
                    || weight > bestWeight
                    || (weight == bestWeight && nodeId.compareTo(best) > 0)) {
                best = nodeId;
                bestWeight = weight;
            }
        }
        return best;
    }

    /** Records the current nodes of each service. */
    synchronized void update(EndpointView view) {
        Map<String, Set<String>> nodes = new HashMap<>();
        for (EndpointRecord record : view.all()) {
            nodes.computeIfAbsent(record.service(), name -> new TreeSet<>()).add(record.nodeId());
        }
        Set<String> services = new TreeSet<>(history.keySet());
        services.addAll(nodes.keySet());
        for (String service : services) {
            append(service, nodes.getOrDefault(service, Set.of()));
        }
    }

    private void append(String service, Set<String> ids) {
        Deque<Nodes> past = history.computeIfAbsent(service, name -> new ArrayDeque<>());
        Nodes last = past.peekLast();
        if (last == null || !last.ids().equals(ids)) {
            past.addLast(new Nodes(Set.copyOf(ids), clock.nanos()));
        }
        if (past.size() > MAX_HISTORY) {
            past.removeFirst();
        }
    }

    /**
     * Returns the clock reading since when this node has been the home of a key, or the current one
     * if it is not the home.
     */
    synchronized long homeSinceNanos(String service, String key) {
        long sinceNanos = clock.nanos();
        Deque<Nodes> past = history.getOrDefault(service, new ArrayDeque<>());
        for (var newestFirst = past.descendingIterator(); newestFirst.hasNext(); ) {
            Nodes nodes = newestFirst.next();
            if (!ownNodeId.equals(choose(nodes.ids(), key))) {
                return sinceNanos;
            }
            sinceNanos = nodes.sinceNanos();
        }
        return sinceNanos;
    }
}
