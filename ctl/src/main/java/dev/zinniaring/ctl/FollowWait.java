package dev.zinniaring.ctl;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.platform.Pause;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Waits until every node follows a version. Counted are the nodes that some reachable node knows as
 * a member, so that an address of a VM that is gone does not hold up the wait.
 */
final class FollowWait {
    private static final Duration POLL = Duration.ofMillis(200);

    private final NodeAdmin nodes;
    private final Clock clock;
    private final Pause pause;

    FollowWait(NodeAdmin nodes, Clock clock, Pause pause) {
        this.nodes = nodes;
        this.clock = clock;
        this.pause = pause;
    }

    /** How many of the nodes follow. */
    record Progress(int following, int total) {
        boolean done() {
            return total > 0 && following == total;
        }
    }

    /**
     * Waits, with a line of progress at each change.
     *
     * @throws CtlException if a node refuses the version or not all follow in time
     */
    Progress await(long version, Duration limit, Console console) throws CtlException {
        long startNanos = clock.nanos();
        Progress last = new Progress(-1, -1);
        while (true) {
            Progress progress = progress(version);
            if (!progress.equals(last)) {
                console.progress(
                        "version %d: %d of %d nodes follow"
                                .formatted(version, progress.following, progress.total));
            }
            if (progress.done()) {
                return progress;
            }
            if (clock.since(startNanos).compareTo(limit) >= 0) {
                throw new CtlException(
                        ExitStatus.INTERNAL,
                        "version %d is accepted, but only %d of %d nodes follow after %d s"
                                .formatted(
                                        version,
                                        progress.following,
                                        progress.total,
                                        limit.toSeconds()));
            }
            last = progress;
            waitForNextPoll();
        }
    }

    private Progress progress(long version) throws CtlException {
        List<NodeStatus> counted = counted(nodes.statuses());
        for (NodeStatus status : counted) {
            if (status.refusedVersion() == version) {
                throw new CtlException(
                        ExitStatus.REFUSED,
                        "node " + status.node() + " refuses version " + version);
            }
        }
        int following = (int) counted.stream().filter(s -> s.version() >= version).count();
        return new Progress(following, counted.size());
    }

    private static List<NodeStatus> counted(List<NodeStatus> statuses) {
        Set<String> members =
                statuses.stream()
                        .flatMap(status -> status.adminAddresses().values().stream())
                        .collect(Collectors.toSet());
        return statuses.stream()
                .filter(
                        status ->
                                members.isEmpty()
                                        || status.reachable()
                                        || members.contains(status.address()))
                .toList();
    }

    private void waitForNextPoll() throws CtlException {
        try {
            pause.pause(POLL);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CtlException(ExitStatus.INTERNAL, "the wait was interrupted", e);
        }
    }
}
