package dev.zinniaring.node;

import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.kernel.Scheduler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Finds out whether a backend server that broke a connection has crashed: it then refuses new
 * connections. A dying process may close its connections before its listening socket, so that it is
 * asked several times. Until the answer is known, a request on which two servers broke waits; it
 * would otherwise reach a third before the first two count as crashed.
 */
final class CrashProbe {
    private static final int CONNECT_MILLIS = 100;
    private static final List<Duration> DELAYS =
            List.of(Duration.ofMillis(20), Duration.ofMillis(100), Duration.ofMillis(300));
    private static final int BROKEN_BEFORE_WAIT = 2;
    private static final long MAX_WAIT_MILLIS = 1_000;

    private final CrashGuard guard;
    private final Scheduler scheduler;
    private final Map<String, Probe> probes = new ConcurrentHashMap<>();

    CrashProbe(CrashGuard guard, Scheduler scheduler) {
        this.guard = guard;
        this.scheduler = scheduler;
    }

    /** One server that is being asked, and the requests on which it broke. */
    private static final class Probe {
        private final Set<Long> fingerprints = ConcurrentHashMap.newKeySet();
        private final CompletableFuture<Void> end = new CompletableFuture<>();
    }

    /** Asks now, and again later if the server still takes connections. */
    void broke(LocalServer server, long fingerprint) {
        if (refused(server)) {
            return;
        }
        Probe fresh = new Probe();
        Probe probe = probes.computeIfAbsent(server.serverId(), id -> fresh);
        probe.fingerprints.add(fingerprint);
        if (probe == fresh) {
            later(server, probe, 0);
        }
    }

    /** Waits for the answers about a request on which two servers broke a connection just now. */
    void settle(long fingerprint) {
        List<CompletableFuture<Void>> ends =
                probes.values().stream()
                        .filter(probe -> probe.fingerprints.contains(fingerprint))
                        .map(probe -> probe.end)
                        .toList();
        boolean suspect = guard.verdict(fingerprint) != CrashGuard.Verdict.RUN;
        if (ends.size() + (suspect ? 1 : 0) < BROKEN_BEFORE_WAIT) {
            return;
        }
        try {
            CompletableFuture.allOf(ends.toArray(new CompletableFuture<?>[0]))
                    .get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            // No answer is known; the verdict so far decides.
            return;
        }
    }

    private void later(LocalServer server, Probe probe, int index) {
        if (index == DELAYS.size()) {
            end(server, probe);
            return;
        }
        scheduler.after(
                DELAYS.get(index),
                () -> {
                    if (refused(server)) {
                        end(server, probe);
                    } else {
                        later(server, probe, index + 1);
                    }
                });
    }

    private void end(LocalServer server, Probe probe) {
        probes.remove(server.serverId(), probe);
        probe.end.complete(null);
    }

    private boolean refused(LocalServer server) {
        InetSocketAddress address = server.announced().address();
        try (Socket probe = new Socket()) {
            probe.connect(address, CONNECT_MILLIS);
            return false;
        } catch (IOException e) {
            guard.crashed(server.serverId());
            return true;
        }
    }
}
