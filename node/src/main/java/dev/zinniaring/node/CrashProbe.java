package dev.zinniaring.node;

import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.kernel.Scheduler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Finds out whether a backend server that broke a connection has crashed: it then refuses new
 * connections. A dying process may close its connections before its listening socket, so that it is
 * asked several times.
 */
final class CrashProbe {
    private static final int CONNECT_MILLIS = 100;
    private static final List<Duration> DELAYS =
            List.of(Duration.ofMillis(20), Duration.ofMillis(100), Duration.ofMillis(300));

    private final CrashGuard guard;
    private final Scheduler scheduler;
    private final Set<String> probed = ConcurrentHashMap.newKeySet();

    CrashProbe(CrashGuard guard, Scheduler scheduler) {
        this.guard = guard;
        this.scheduler = scheduler;
    }

    /** Asks now, and again later if the server still takes connections. */
    void broke(LocalServer server) {
        if (!refused(server) && probed.add(server.serverId())) {
            later(server, 0);
        }
    }

    private void later(LocalServer server, int index) {
        if (index == DELAYS.size()) {
            probed.remove(server.serverId());
            return;
        }
        scheduler.after(
                DELAYS.get(index),
                () -> {
                    if (refused(server)) {
                        probed.remove(server.serverId());
                    } else {
                        later(server, index + 1);
                    }
                });
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
