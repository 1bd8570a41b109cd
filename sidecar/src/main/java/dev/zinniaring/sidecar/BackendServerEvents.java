package dev.zinniaring.sidecar;

import dev.zinniaring.calls.CallCounters;
import dev.zinniaring.calls.OwnerCalls;
import dev.zinniaring.calls.ServerSettings;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles what the node learns of the backend server on its VM: announcements, health checks, and
 * what the server says in its answers. Used on the event loop only.
 */
final class BackendServerEvents {
    private static final Logger log = LoggerFactory.getLogger("node");

    private final LocalServerTracker tracker;
    private final OwnerCalls calls;
    private final LocalRecordPublisher record;
    private final ServerProbe probe;
    private final Supplier<ServerSettings> settings;
    private final BooleanSupplier mayProbe;
    private final Executor loop;
    private final CallCounters counters;

    /**
     * Creates the component.
     *
     * @param settings supplies the settings of the server's service
     * @param mayProbe whether the server may be asked who it is
     */
    BackendServerEvents(
            LocalServerTracker tracker,
            OwnerCalls calls,
            LocalRecordPublisher record,
            ServerProbe probe,
            Supplier<ServerSettings> settings,
            BooleanSupplier mayProbe,
            Executor loop,
            CallCounters counters) {
        this.tracker = tracker;
        this.calls = calls;
        this.record = record;
        this.probe = probe;
        this.settings = settings;
        this.mayProbe = mayProbe;
        this.loop = loop;
        this.counters = counters;
    }

    /** Handles the answer of a different server at the server's address. */
    void misdirected() {
        log.warn("different backend server answered at its address");
        tracker.forget();
        probe.reset();
        loop.execute(this::probeServer);
    }

    /** Handles an answer in which a server says that it leaves. */
    void saidLeaving(String serverId) {
        Announcement known = tracker.latest();
        if (known != null && known.serverId().equals(serverId)) {
            apply(tracker.handleDeregistration(serverId, Optional.empty()), serverId);
        }
    }

    /** Sends a health check to the server if it has not announced itself yet. */
    void probeServer() {
        if (tracker.latest() != null || !mayProbe.getAsBoolean()) {
            return;
        }
        probe.check(
                settings.get().healthPath(),
                identified -> {
                    if (tracker.setProbed(identified.serverId(), identified.slots())) {
                        log.info(
                                "identified backend server by health check server={}",
                                identified.serverId());
                        record.publish();
                    }
                    calls.serverAnswered(identified.serverId(), identified.notice());
                });
    }

    /** Handles an announcement; returns false if it does not concern the present server. */
    boolean announced(Announcement announcement) {
        return apply(tracker.handleAnnouncement(announcement), announcement.serverId());
    }

    /** Handles a deregistration; returns false if it does not concern the present server. */
    boolean deregistered(String serverId, Optional<Long> bornMillis) {
        return apply(tracker.handleDeregistration(serverId, bornMillis), serverId);
    }

    private boolean apply(LocalServerTracker.Change change, String serverId) {
        if (change == LocalServerTracker.Change.REFUSED) {
            counters.increment("announcements_refused");
            log.info("rejected announcement server={}", serverId);
            return false;
        }
        if (change == LocalServerTracker.Change.NONE) {
            return true;
        }
        Announcement known = tracker.latest();
        log.info(
                "backend server changed server={} change={} leaving={}",
                serverId,
                change,
                known != null && known.leaving());
        if (change == LocalServerTracker.Change.LIFE) {
            calls.resetForNewServer();
        }
        if (known != null && known.leaving()) {
            calls.refuseWaiting("leaving");
        }
        record.publish();
        return true;
    }
}
