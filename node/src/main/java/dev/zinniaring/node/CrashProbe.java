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
 * Probes whether a backend server whose connection broke has crashed, in which case it refuses new
 * connections. A dying process may close its connections before its listening socket, so the probe
 * is repeated. A request on which the connections of two servers broke waits for the results;
 * otherwise it could reach a third server before the first two are recorded as crashed.
 */
final class CrashProbe {
    private static final int CONNECT_MILLIS = 100;
    private static final List<Duration> PROBE_DELAYS =
            List.of(Duration.ofMillis(20), Duration.ofMillis(100), Duration.ofMillis(300));
    private static final int MIN_BROKEN_SERVERS_TO_WAIT = 2;
    private static final long MAX_WAIT_MILLIS = 1_000;

    private final CrashGuard guard;
    private final Scheduler scheduler;
    private final Map<String, Probe> probes = new ConcurrentHashMap<>();

    CrashProbe(CrashGuard guard, Scheduler scheduler) {
        this.guard = guard;
        this.scheduler = scheduler;
    }

    /** The probe of one server, and the requests during which its connections broke. */
    private static final class Probe {
        private final Set<Long> fingerprints = ConcurrentHashMap.newKeySet();
        private final CompletableFuture<Void> done = new CompletableFuture<>();
    }

    /** Probes the server now, and repeatedly later if it still accepts connections. */
    void connectionBroken(LocalServer server, long fingerprint) {
        if (refused(server)) {
            return;
        }
        Probe fresh = new Probe();
        Probe probe = probes.computeIfAbsent(server.serverId(), id -> fresh);
        probe.fingerprints.add(fingerprint);
        if (probe == fresh) {
            scheduleProbe(server, probe, 0);
        }
    }

    /** Waits for the probe results if a request broke connections of two servers just now. */
    void awaitResults(long fingerprint) {
        List<CompletableFuture<Void>> pending =
                probes.values().stream()
                        .filter(probe -> probe.fingerprints.contains(fingerprint))
                        .map(probe -> probe.done)
                        .toList();
        boolean suspect = guard.verdict(fingerprint) != CrashGuard.Verdict.RUN;
        if (pending.size() + (suspect ? 1 : 0) < MIN_BROKEN_SERVERS_TO_WAIT) {
            return;
        }
        try {
            CompletableFuture.allOf(pending.toArray(new CompletableFuture<?>[0]))
                    .get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            // Without a result, the current verdict applies.
            return;
        }
    }

    private void scheduleProbe(LocalServer server, Probe probe, int index) {
        if (index == PROBE_DELAYS.size()) {
            complete(server, probe);
            return;
        }
        scheduler.after(
                PROBE_DELAYS.get(index),
                () -> {
                    if (refused(server)) {
                        complete(server, probe);
                    } else {
                        scheduleProbe(server, probe, index + 1);
                    }
                });
    }

    private void complete(LocalServer server, Probe probe) {
        probes.remove(server.serverId(), probe);
        probe.done.complete(null);
    }

    private boolean refused(LocalServer server) {
        InetSocketAddress address = server.announced().address();
        try (Socket probe = new Socket()) {
            probe.connect(address, CONNECT_MILLIS);
            return false;
        } catch (IOException e) {
            guard.serverCrashed(server.serverId());
            return true;
        }
    }
}
