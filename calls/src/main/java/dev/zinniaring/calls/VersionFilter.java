package dev.zinniaring.calls;

import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.rollout.RolloutState;
import dev.zinniaring.rollout.VersionShares;
import dev.zinniaring.rollout.VersionSplit;
import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Selects the servers of a service that a call may use while a roll-out divides its calls between
 * versions.
 */
final class VersionFilter {
    private final VersionShares shares;

    VersionFilter(VersionShares shares) {
        this.shares = shares;
    }

    /**
     * Returns the servers that a call may use.
     *
     * @param mayTryTarget whether the call may be one of those that try a new version
     */
    List<EndpointRecord> candidates(
            String service, List<EndpointRecord> servers, boolean mayTryTarget) {
        VersionSplit split = shares.split(service);
        if (split == null) {
            return shares.undecided() ? oldestVersion(servers) : servers;
        }
        String target = split.target();
        boolean chosen = mayTryTarget && target.equals(shares.chosen(service));
        if (chosen) {
            List<EndpointRecord> targets = ofVersion(servers, target);
            if (!targets.isEmpty()) {
                return firstServers(targets, shares.share(service));
            }
        }
        return others(servers, split);
    }

    private static List<EndpointRecord> others(List<EndpointRecord> servers, VersionSplit split) {
        List<EndpointRecord> others =
                servers.stream()
                        .filter(server -> !server.version().equals(split.target()))
                        .toList();
        List<EndpointRecord> known =
                others.stream().filter(server -> !server.version().isEmpty()).toList();
        if (!known.isEmpty()) {
            return known;
        }
        // Once a roll-out is complete, the servers of other versions are gone.
        return others.isEmpty() && split.state() != RolloutState.ROLLED_BACK ? servers : others;
    }

    private static List<EndpointRecord> ofVersion(List<EndpointRecord> servers, String version) {
        return servers.stream().filter(server -> server.version().equals(version)).toList();
    }

    /**
     * Returns as many of the servers as carry a share of the calls under their usual load, the same
     * ones at every node, so that a version that fails under load shows it while few calls try it.
     */
    private static List<EndpointRecord> firstServers(List<EndpointRecord> servers, double share) {
        int count = (int) Math.ceil(share * servers.size());
        if (count >= servers.size()) {
            return servers;
        }
        return servers.stream()
                .sorted(Comparator.comparing(EndpointRecord::serverId))
                .limit(Math.max(1, count))
                .toList();
    }

    /**
     * Returns the servers of the version that has been there for longest, for a node that has not
     * heard whether another one may be used.
     */
    private static List<EndpointRecord> oldestVersion(List<EndpointRecord> servers) {
        @Nullable EndpointRecord oldest =
                servers.stream()
                        .min(Comparator.comparingLong(EndpointRecord::incarnation))
                        .orElse(null);
        return oldest == null ? servers : ofVersion(servers, oldest.version());
    }
}
