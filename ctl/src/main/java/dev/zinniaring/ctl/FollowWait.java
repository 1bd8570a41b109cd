package dev.zinniaring.ctl;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.store.Pause;
import java.time.Duration;
import java.util.List;

/** Waits until every node follows a version. */
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

    /**
     * Waits, with a line of progress at each change.
     *
     * @throws CtlException if a node refuses the version or not all follow in time
     */
    Followers await(long version, Duration limit, Console console) throws CtlException {
        long startNanos = clock.nanos();
        String shown = "";
        while (true) {
            Followers followers = followers(version);
            if (!followers.toString().equals(shown)) {
                console.progress("version " + version + ": " + followers);
                shown = followers.toString();
            }
            if (followers.complete()) {
                return followers;
            }
            if (clock.since(startNanos).compareTo(limit) >= 0) {
                throw timeIsUp(version, limit, followers);
            }
            waitForNextPoll();
        }
    }

    private Followers followers(long version) throws CtlException {
        List<NodeStatus> statuses = nodes.statuses();
        for (NodeStatus status : statuses) {
            if (status.refusedVersion() == version) {
                throw new CtlException(
                        ExitStatus.REFUSED,
                        "node " + status.node() + " refuses version " + version);
            }
        }
        return Followers.of(version, statuses);
    }

    private static CtlException timeIsUp(long version, Duration limit, Followers followers) {
        return new CtlException(
                ExitStatus.INTERNAL,
                "version %d is accepted, but only %s after %d s; missing: %s"
                        .formatted(
                                version,
                                followers,
                                limit.toSeconds(),
                                followers.describeMissing()));
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
