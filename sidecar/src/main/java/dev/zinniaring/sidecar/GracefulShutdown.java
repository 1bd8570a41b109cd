package dev.zinniaring.sidecar;

import dev.zinniaring.calls.CutCalls;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import java.time.Duration;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shuts a node down gracefully: it keeps serving until clients and peers have switched to other
 * nodes and no call is in flight, but no longer than the grace period allows.
 */
final class GracefulShutdown {
    private static final Logger log = LoggerFactory.getLogger("node");

    /** Time within which other nodes learn that this node is leaving. */
    private static final Duration PEER_NOTICE_DELAY = Duration.ofMillis(1_200);

    /**
     * Time after which clients are routed elsewhere: two readiness checks, a second apart, have
     * failed.
     */
    private static final Duration CLIENT_NOTICE_DELAY = Duration.ofMillis(2_700);

    /** The process exits this long before the end of the grace period, when it would be killed. */
    private static final Duration KILL_MARGIN = Duration.ofMillis(400);

    private static final Duration CHECK_PERIOD = Duration.ofMillis(50);

    private final Duration runTime;
    private final Clock clock;
    private final Scheduler scheduler;
    private final CallsInFlight calls;
    private boolean started;
    private long startNanos;

    /**
     * Creates a shutdown.
     *
     * @param grace time between the termination request and the forced kill
     */
    GracefulShutdown(Duration grace, Clock clock, Scheduler scheduler, CallsInFlight calls) {
        this.runTime = grace.minus(KILL_MARGIN);
        this.clock = clock;
        this.scheduler = scheduler;
        this.calls = calls;
    }

    boolean started() {
        return started;
    }

    /**
     * Starts the shutdown; a later call has no effect. From now on, calls that may outlast the
     * process are refused.
     *
     * @param requestedNanos clock reading of the termination request
     * @param onStopped run when the process may exit
     */
    void start(long requestedNanos, Runnable onStopped) {
        if (started) {
            return;
        }
        started = true;
        startNanos = requestedNanos;
        log.info("shutting down in_flight={} run_ms={}", calls.count(), runTime.toMillis());
        calls.stopAt(startNanos + runTime.toNanos(), startNanos + CLIENT_NOTICE_DELAY.toNanos());
        at(PEER_NOTICE_DELAY, calls::refusePeers);
        at(
                runTime.compareTo(CLIENT_NOTICE_DELAY) < 0 ? runTime : CLIENT_NOTICE_DELAY,
                () -> {
                    calls.refuseClients();
                    exitWhenIdle(onStopped);
                });
    }

    /** Runs a task at a time after the termination request. */
    private void at(Duration elapsed, Runnable task) {
        Duration delay = elapsed.minus(clock.since(startNanos));
        scheduler.after(delay.isNegative() ? Duration.ZERO : delay, task);
    }

    private void exitWhenIdle(Runnable onStopped) {
        Duration elapsed = clock.since(startNanos);
        int remaining = calls.count();
        if (remaining == 0 || elapsed.compareTo(runTime) >= 0) {
            log.info("stopped in_flight={} after_ms={}", remaining, elapsed.toMillis());
            List<String> cut = calls.ids();
            if (!cut.isEmpty()) {
                log.warn("cut calls {}", CutCalls.text(cut));
            }
            onStopped.run();
            return;
        }
        scheduler.after(CHECK_PERIOD, () -> exitWhenIdle(onStopped));
    }
}
