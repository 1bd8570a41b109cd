package dev.zinniaring.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Selects the members to probe: each member once per round, in an order that is shuffled for each
 * round, so that the time between two probes of a member is bounded.
 */
final class ProbeOrder {
    private final RandomGenerator random;
    private final List<String> remaining = new ArrayList<>();

    ProbeOrder(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the next member to probe, or empty if there are no candidates.
     *
     * @param candidates sorted by id
     */
    Optional<Member> next(List<Member> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        while (!remaining.isEmpty()) {
            String nodeId = remaining.remove(remaining.size() - 1);
            Optional<Member> found = find(candidates, nodeId);
            if (found.isPresent()) {
                return found;
            }
        }
        candidates.forEach(member -> remaining.add(member.nodeId()));
        Collections.shuffle(remaining, new Random(random.nextLong()));
        return find(candidates, remaining.remove(remaining.size() - 1));
    }

    /** Returns up to {@code count} distinct random candidates, never the excluded one. */
    List<Member> sample(List<Member> candidates, int count, String excludedId) {
        List<Member> chosen = new ArrayList<>();
        Set<Integer> tried = new HashSet<>();
        while (chosen.size() < count && tried.size() < candidates.size()) {
            int index = random.nextInt(candidates.size());
            Member candidate = candidates.get(index);
            if (tried.add(index) && !candidate.nodeId().equals(excludedId)) {
                chosen.add(candidate);
            }
        }
        return chosen;
    }

    /** Finds a candidate by binary search; the candidates are sorted by id. */
    private static Optional<Member> find(List<Member> candidates, String nodeId) {
        int low = 0;
        int high = candidates.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            int order = candidates.get(middle).nodeId().compareTo(nodeId);
            if (order == 0) {
                return Optional.of(candidates.get(middle));
            }
            low = order < 0 ? middle + 1 : low;
            high = order < 0 ? high : middle - 1;
        }
        return Optional.empty();
    }
}
