package dev.zinniaring.sidecar;

import dev.zinniaring.model.EndpointRecord;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Selects the node of each availability zone that watches the store on behalf of the zone, so that
 * the load on the store does not grow with the number of nodes. While nodes disagree about the
 * reader, the only cost is some additional requests.
 */
final class ReaderSelection {
    private ReaderSelection() {}

    /** Returns the nodes of a zone in the order in which they are preferred as reader. */
    static List<EndpointRecord> candidates(Collection<EndpointRecord> nodes, String zone) {
        return nodes.stream()
                .filter(node -> node.zone().equals(zone))
                .sorted(
                        Comparator.<EndpointRecord>comparingInt(node -> hash(node.nodeId()))
                                .thenComparing(EndpointRecord::nodeId))
                .toList();
    }

    /**
     * Returns the reader among the candidates, or null if there is none.
     *
     * @param failing whether a node recently failed to answer
     */
    static @Nullable EndpointRecord reader(
            List<EndpointRecord> candidates, Predicate<EndpointRecord> failing) {
        for (EndpointRecord candidate : candidates) {
            if (!failing.test(candidate)) {
                return candidate;
            }
        }
        return null;
    }

    /**
     * Hashes a node name, since names in sequence would make the first VM of each zone the reader.
     */
    private static int hash(String nodeId) {
        return Integer.reverse(nodeId.hashCode() * 0x9E3779B9);
    }
}
