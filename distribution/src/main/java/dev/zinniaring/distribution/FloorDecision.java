package dev.zinniaring.distribution;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Computes the floor of a starting node: the lowest version number that it may activate, so that
 * its active version is never older than one that an earlier incarnation of it had active.
 *
 * <p>A version was active on some node only if a majority of seeds had recorded it. If {@code r} of
 * {@code n} seeds have answered, at least {@code majority - (n - r)} of the answers must therefore
 * have a mark that is not below that version. The floor is the highest number for which this holds.
 */
final class FloorDecision {
    private final Seeds seeds;
    private final Map<String, Long> marks = new TreeMap<>();
    private OptionalLong head = OptionalLong.empty();

    FloorDecision(Seeds seeds) {
        this.seeds = seeds;
    }

    /** Adds a seed's answer to a query of this incarnation of the node. */
    void addReply(String seed, MarkReply reply) {
        if (reply.confirmed() && seeds.contains(seed)) {
            marks.merge(seed, reply.mark(), Math::min);
        }
    }

    /** Sets the head's number, as read from the platform by this incarnation of the node. */
    void readHead(long number) {
        head = OptionalLong.of(head.isPresent() ? Math.min(head.getAsLong(), number) : number);
    }

    /** Returns whether the seed has answered. */
    boolean hasReply(String seed) {
        return marks.containsKey(seed);
    }

    /** Returns the floor, or empty while it is unknown. */
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
