package dev.zinniaring.ctl;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Which nodes follow a version. Counted are the nodes that some reachable node knows as a member,
 * so that an address of a VM that is gone does not hold up a wait. A member that cannot be asked
 * counts as not following. If no node names its members, all addresses of the settings count.
 *
 * @param following ids of the nodes that follow
 * @param missing ids of the nodes that do not follow or cannot be asked
 * @param unnamed members that are counted by some node but named by none
 */
record Followers(Set<String> following, Set<String> missing, int unnamed) {
    private static final int SHOWN = 5;

    static Followers of(long version, List<NodeStatus> statuses) {
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
        return new Followers(following, missing, Math.max(0, members - counted.size()));
    }

    int total() {
        return following.size() + missing.size() + unnamed;
    }

    boolean complete() {
        return !following.isEmpty() && missing.isEmpty() && unnamed == 0;
    }

    @Override
    public String toString() {
        return following.size() + " of " + total() + " nodes follow";
    }

    /** Returns the first few nodes that do not follow. */
    String describeMissing() {
        String names = missing.stream().limit(SHOWN).collect(Collectors.joining(", "));
        int others = missing.size() - Math.min(SHOWN, missing.size()) + unnamed;
        return names + (others == 0 ? "" : (names.isEmpty() ? "" : " and ") + others + " more");
    }
}
