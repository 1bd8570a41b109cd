package dev.zinniaring.node;

import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.kernel.Clock;
import java.util.concurrent.TimeUnit;

/**
 * Runs the requests that may have crashed a backend server apart from each other, so that a further
 * crash tells which of them it was. A request waits for a while, and then runs all the same.
 */
final class ApartRuns {
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long STEP_MILLIS = 2;

    private final CrashGuard guard;
    private final Clock clock;

    ApartRuns(CrashGuard guard, Clock clock) {
        this.guard = guard;
        this.clock = clock;
    }

    /** Notes that a request is about to be sent, once it may be. */
    CrashGuard.Run started(LocalServer server, long fingerprint, long leftNanos) {
        if (guard.verdict(fingerprint) != CrashGuard.Verdict.RUN_APART) {
            return guard.started(server.serverId(), fingerprint);
        }
        long endNanos = clock.nanos() + Math.min(leftNanos / 2, MAX_WAIT_NANOS);
        // Two suspects that look at the same time must not both see that none is in flight.
        synchronized (server.admission()) {
            while (guard.suspectInFlight(server.serverId(), fingerprint)
                    && clock.nanos() < endNanos) {
                try {
                    server.admission().wait(STEP_MILLIS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    break;
                }
            }
            return guard.started(server.serverId(), fingerprint);
        }
    }
}
