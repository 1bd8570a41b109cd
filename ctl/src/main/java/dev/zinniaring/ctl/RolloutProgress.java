package dev.zinniaring.ctl;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Progress of a version's rollout: the nodes that follow it, that is, serve it or a later one. Only
 * nodes that some reachable node lists as a member are counted, so that the address of a removed VM
 * in the settings does not block a wait. An unreachable member counts as not following. If no node
 * lists its members, all addresses in the settings are counted.
 *
 * @param following ids of the nodes that follow
 * @param missing ids of the nodes that do not follow or are unreachable
 * @param unnamed number of members that some node counts but no node lists by id
 */
record RolloutProgress(Set<String> following, Set<String> missing, int unnamed) {
    private static final int MAX_LISTED = 5;

    static RolloutProgress of(long version, List<NodeStatus> statuses) {
        Set<String> counted = new TreeSet<>();
        int members = 0;
        for (NodeStatus status : statuses) {
            counted.addAll(status.memberIds());
            members = Math.max(members, status.members());
        }
        boolean named = !counted.isEmpty();
        Set<String> following = new TreeSet<>();
        for (NodeStatus status : statuses) {
            if (status.reachable() || !named) {
                counted.add(status.node());
            }
            if (status.reachable() && status.version() >= version) {
                following.add(status.node());
            }
        }
        Set<String> missing = new TreeSet<>(counted);
        missing.removeAll(following);
        return new RolloutProgress(following, missing, Math.max(0, members - counted.size()));
    }

    /** Returns the number of all counted nodes. */
    int total() {
        return following.size() + missing.size() + unnamed;
    }

    /** Returns whether every counted node follows, and there is at least one. */
    boolean complete() {
        return !following.isEmpty() && missing.isEmpty() && unnamed == 0;
    }

    @Override
    public String toString() {
        return following.size() + " of " + total() + " nodes follow";
    }

    /**
     * Returns the first {@link #MAX_LISTED} missing nodes and the number of the others, as text.
     */
    String describeMissing() {
        String names = missing.stream().limit(MAX_LISTED).collect(Collectors.joining(", "));
        int others = missing.size() - Math.min(MAX_LISTED, missing.size()) + unnamed;
        return names + (others == 0 ? "" : (names.isEmpty() ? "" : " and ") + others + " more");
    }
}
