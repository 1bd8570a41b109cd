package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import java.time.Duration;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends a node: it goes on answering until clients and nodes have turned to others and no call is
 * under way, but not longer than the grace allows.
 */
final class Shutdown {
    private static final Logger log = LoggerFactory.getLogger("node");

    /** Other nodes know within this time that the node leaves. */
    private static final Duration PEERS_INFORMED = Duration.ofMillis(1_200);

    /** Clients are sent elsewhere after two questions a second apart were not answered well. */
    private static final Duration CLIENTS_INFORMED = Duration.ofMillis(2_700);

    /** The process ends this long before it would be killed. */
    private static final Duration MARGIN = Duration.ofMillis(400);

    private static final Duration PERIOD = Duration.ofMillis(50);

    private final Duration grace;
    private final Clock clock;
    private final Scheduler scheduler;
    private final IntSupplier inFlight;
    private boolean begun;
    private long beginNanos;

    Shutdown(SidecarSettings settings, Clock clock, Scheduler scheduler, IntSupplier inFlight) {
        this.grace = settings.grace();
        this.clock = clock;
        this.scheduler = scheduler;
        this.inFlight = inFlight;
    }

    boolean begun() {
        return begun;
    }

    /**
     * Begins the end.
     *
     * @param refusePeers refuses calls of other nodes, run once those know
     * @param refuseClients refuses calls of clients, run once those that can go elsewhere have
     * @param then run when the process may end
     */
    void begin(Runnable refusePeers, Runnable refuseClients, Runnable then) {
        begun = true;
        beginNanos = clock.nanos();
        scheduler.after(PEERS_INFORMED, refusePeers);
        scheduler.after(
                CLIENTS_INFORMED,
                () -> {
                    refuseClients.run();
                    check(then);
                });
    }

    private void check(Runnable then) {
        Duration passed = clock.since(beginNanos);
        int left = inFlight.getAsInt();
        if (left == 0 || passed.compareTo(grace.minus(MARGIN)) >= 0) {
            log.info("stopped in_flight={} after_ms={}", left, passed.toMillis());
            then.run();
            return;
        }
        scheduler.after(PERIOD, () -> check(then));
    }
}
