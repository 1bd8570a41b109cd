package dev.zinniaring.calls;

import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.admission.Suspect;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the crash guard which requests were in flight when the backend server on this VM ended, and
 * refuses those that the guard holds. Must be used on the event loop.
 */
final class CrashWatch {
    /** Reason of the refusal of a request that crashes the servers that run it. */
    static final String HELD = "crashes-servers";

    /**
     * Reason of the refusal of a request that may crash servers, beside another that was in flight
     * at the same crashes.
     */
    static final String ISOLATED = "suspects-apart";

    private static final Logger log = LoggerFactory.getLogger("server");

    private final CrashDetector detector;
    private final CrashGuard guard;
    private final CallCounters counters;
    private Runnable suspectListener = () -> {};
    private String endedServerId = "";
    private @Nullable LocalServer lastServer;

    CrashWatch(PooledHttpClient client, CrashGuard guard, CallCounters counters) {
        this.guard = guard;
        this.counters = counters;
        this.detector = new CrashDetector(client, this::serverEnded);
    }

    /** Sets the action to run when there are new suspects to send to other nodes. */
    void onSuspects(Runnable action) {
        suspectListener = action;
    }

    CrashGuard guard() {
        return guard;
    }

    /** Returns what is known of crashes at which a job's request was in flight, null if nothing. */
    @Nullable Suspect suspect(OwnerJob job) {
        return guard.suspect(job.fingerprint());
    }

    /** Takes over what the entry node of a job knows. */
    void merge(OwnerJob job) {
        Suspect known = job.knownSuspect();
        if (known != null) {
            guard.merge(List.of(known));
        }
    }

    /** Returns the reason why a job must not run at the server now, or null if it may. */
    @Nullable String refusal(OwnerJob job, LocalServer server) {
        String reason =
                switch (guard.verdict(job.fingerprint())) {
                    case RUN -> null;
                    case HOLD -> HELD;
                    case RUN_ISOLATED ->
                            guard.sharesCrashWithCallInFlight(server.serverId(), job.fingerprint())
                                    ? ISOLATED
                                    : null;
                };
        if (reason != null) {
            counters.increment("owner_" + reason.replace('-', '_'));
        }
        return reason;
    }

    /** Records that a job is about to be sent to the server. */
    CrashGuard.Run callStarted(LocalServer server, OwnerJob job) {
        lastServer = server;
        return guard.callStarted(server.serverId(), job.fingerprint());
    }

    /**
     * Checks the server after the connection of a call broke.
     *
     * @param onKnown runs as soon as it is known whether the server has ended, or after 20 ms at
     *     the latest if the server still takes connections
     */
    void connectionBroken(LocalServer server, Runnable onKnown) {
        detector.connectionBroken(server, onKnown);
    }

    /** Checks the server after no connection to it could be opened. */
    void connectionRefused(LocalServer server) {
        detector.connectionRefused(server);
    }

    /** Records that another process of the server has announced itself. */
    void serverReplaced() {
        LocalServer previous = lastServer;
        if (previous == null) {
            return;
        }
        Set<Long> suspects = guard.serverRestarted(previous.serverId());
        if (!suspects.isEmpty()) {
            report(previous.serverId(), "new-start", suspects);
        }
    }

    private void serverEnded(LocalServer server) {
        String serverId = server.serverId();
        Set<Long> suspects = guard.serverCrashed(serverId);
        if (suspects.isEmpty() && serverId.equals(endedServerId)) {
            return;
        }
        endedServerId = serverId;
        counters.increment("server_ends");
        report(serverId, "connection", suspects);
    }

    private void report(String serverId, String source, Set<Long> suspects) {
        log.warn(
                "server ended server={} source={} suspects={}",
                serverId,
                source,
                suspects.stream().map(CallFingerprint::text).toList());
        if (!suspects.isEmpty()) {
            suspectListener.run();
        }
    }
}
