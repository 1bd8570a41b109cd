package dev.zinniaring.ctl;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.store.Pause;
import java.time.Duration;
import java.util.List;

/** Waits until every node follows a version, that is, serves it or a later one. */
final class RolloutWait {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    private final NodeAdmin nodes;
    private final Clock clock;
    private final Pause pause;

    RolloutWait(NodeAdmin nodes, Clock clock, Pause pause) {
        this.nodes = nodes;
        this.clock = clock;
        this.pause = pause;
    }

    /**
     * Polls the nodes until all of them follow the version, and reports each change as progress.
     *
     * @param limit maximum wait
     * @throws CtlException if a node refuses the version, or not all nodes follow within the limit
     */
    RolloutProgress await(long version, Duration limit, Console console) throws CtlException {
        long startNanos = clock.nanos();
        String shown = "";
        while (true) {
            RolloutProgress progress = progress(version);
            if (!progress.toString().equals(shown)) {
                console.progress("version " + version + ": " + progress);
                shown = progress.toString();
            }
            if (progress.complete()) {
                return progress;
            }
            if (clock.since(startNanos).compareTo(limit) >= 0) {
                throw timedOut(version, limit, progress);
            }
            waitForNextPoll();
        }
    }

    private RolloutProgress progress(long version) throws CtlException {
        List<NodeStatus> statuses = nodes.statuses();
        for (NodeStatus status : statuses) {
            if (status.refusedVersion() == version) {
                throw new CtlException(
                        ExitStatus.REFUSED,
                        "node " + status.node() + " refuses version " + version);
            }
        }
        return RolloutProgress.of(version, statuses);
    }

    private static CtlException timedOut(long version, Duration limit, RolloutProgress progress) {
        return new CtlException(
                ExitStatus.INTERNAL,
                "version %d is accepted, but only %s after %d s; missing: %s"
                        .formatted(
                                version, progress, limit.toSeconds(), progress.describeMissing()));
    }

    private void waitForNextPoll() throws CtlException {
        try {
            pause.pause(POLL_INTERVAL);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CtlException(
                    ExitStatus.INTERNAL, "interrupted while waiting for the nodes", e);
        }
    }
}
