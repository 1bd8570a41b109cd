package dev.zinniaring.distribution;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Decides from which number on a starting node may put a version in force, so that it never serves
 * less than an earlier life of it did.
 *
 * <p>A version was in force anywhere only if a majority of seeds had recorded it. Among {@code n}
 * seeds of which {@code r} have answered, it must therefore be within the marks of at least {@code
 * majority - (n - r)} of the answers. The floor is the highest number of which that holds.
 */
final class FloorDecision {
    private final Seeds seeds;
    private final Map<String, Long> marks = new TreeMap<>();
    private OptionalLong head = OptionalLong.empty();

    FloorDecision(Seeds seeds) {
        this.seeds = seeds;
    }

    /** Learns a seed's answer to a question that this life of the node has asked. */
    void heard(String seed, MarkReply reply) {
        if (reply.confirmed() && seeds.contains(seed)) {
            marks.merge(seed, reply.mark(), Math::min);
        }
    }

    /** Learns the head's number as read from the platform in this life of the node. */
    void readHead(long number) {
        head = OptionalLong.of(head.isPresent() ? Math.min(head.getAsLong(), number) : number);
    }

    /** Returns whether a seed's answer is known. */
    boolean has(String seed) {
        return marks.containsKey(seed);
    }

    /** Returns the floor, empty while it is unknown. */
    OptionalLong floor() {
        if (marks.size() < seeds.majority()) {
            return head;
        }
        int unknown = seeds.count() - marks.size();
        int needed = Math.max(1, seeds.majority() - unknown);
        long byMarks = highestFirst().get(needed - 1);
        return OptionalLong.of(head.isPresent() ? Math.min(byMarks, head.getAsLong()) : byMarks);
    }

    private List<Long> highestFirst() {
        return marks.values().stream().sorted(Comparator.reverseOrder()).toList();
    }
}
