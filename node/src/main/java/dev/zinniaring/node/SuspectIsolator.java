package dev.zinniaring.node;

import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.kernel.Clock;
import java.util.concurrent.TimeUnit;

/**
 * Keeps requests that may have crashed a backend server from running at the same time on a server,
 * so that a further crash can be attributed to one of them. A request waits for a bounded time and
 * then runs anyway.
 */
final class SuspectIsolator {
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long POLL_MILLIS = 2;

    private final CrashGuard guard;
    private final Clock clock;

    SuspectIsolator(CrashGuard guard, Clock clock) {
        this.guard = guard;
        this.clock = clock;
    }

    /** Waits until a request may run on the server, and registers its start. */
    CrashGuard.Run awaitAndStart(LocalServer server, long fingerprint, long leftNanos) {
        if (guard.verdict(fingerprint) != CrashGuard.Verdict.RUN_ISOLATED) {
            return guard.callStarted(server.serverId(), fingerprint);
        }
        long endNanos = clock.nanos() + Math.min(leftNanos / 2, MAX_WAIT_NANOS);
        // The lock keeps two concurrent suspects from both seeing that none is in flight.
        synchronized (server.admission()) {
            while (guard.sharesCrashWithCallInFlight(server.serverId(), fingerprint)
                    && clock.nanos() < endNanos) {
                try {
                    server.admission().wait(POLL_MILLIS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    break;
                }
            }
            return guard.callStarted(server.serverId(), fingerprint);
        }
    }
}
