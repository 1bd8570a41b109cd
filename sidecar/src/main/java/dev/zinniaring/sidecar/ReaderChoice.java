package dev.zinniaring.sidecar;

import dev.zinniaring.model.EndpointRecord;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Chooses the node of each availability zone that follows the store for all of them, so that the
 * cost at the store does not grow with the nodes of a zone. Nodes that disagree for a while only
 * cost some more questions.
 */
final class ReaderChoice {
    private ReaderChoice() {}

    /**
     * Returns the nodes of a zone in the order in which they are to read.
     *
     * @param failing whether a node did not answer lately
     */
    static List<EndpointRecord> order(
            Collection<EndpointRecord> nodes, String zone, Predicate<EndpointRecord> failing) {
        return nodes.stream()
                .filter(node -> node.zone().equals(zone))
                .filter(failing.negate())
                .sorted(
                        Comparator.<EndpointRecord>comparingInt(node -> spread(node.nodeId()))
                                .thenComparing(EndpointRecord::nodeId))
                .toList();
    }

    /** Spreads the duty, which names in sequence would leave to the first machine of each zone. */
    private static int spread(String nodeId) {
        return Integer.reverse(nodeId.hashCode() * 0x9E3779B9);
    }
}
