package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import java.time.Duration;
import java.util.function.IntSupplier;
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

    private final Duration grace;
    private final Clock clock;
    private final Scheduler scheduler;
    private final IntSupplier inFlight;
    private boolean started;
    private long startNanos;

    GracefulShutdown(
            SidecarSettings settings, Clock clock, Scheduler scheduler, IntSupplier inFlight) {
        this.grace = settings.grace();
        this.clock = clock;
        this.scheduler = scheduler;
        this.inFlight = inFlight;
    }

    boolean started() {
        return started;
    }

    /**
     * Starts the shutdown.
     *
     * @param refusePeers starts refusing calls of other nodes; run once those know of the shutdown
     * @param refuseClients starts refusing calls of clients; run once they have had time to switch
     *     to other nodes
     * @param onStopped run when the process may exit
     */
    void start(Runnable refusePeers, Runnable refuseClients, Runnable onStopped) {
        started = true;
        startNanos = clock.nanos();
        scheduler.after(PEER_NOTICE_DELAY, refusePeers);
        scheduler.after(
                CLIENT_NOTICE_DELAY,
                () -> {
                    refuseClients.run();
                    exitWhenIdle(onStopped);
                });
    }

    private void exitWhenIdle(Runnable onStopped) {
        Duration elapsed = clock.since(startNanos);
        int remaining = inFlight.getAsInt();
        if (remaining == 0 || elapsed.compareTo(grace.minus(KILL_MARGIN)) >= 0) {
            log.info("stopped in_flight={} after_ms={}", remaining, elapsed.toMillis());
            onStopped.run();
            return;
        }
        scheduler.after(CHECK_PERIOD, () -> exitWhenIdle(onStopped));
    }
}
