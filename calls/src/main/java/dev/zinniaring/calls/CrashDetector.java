package dev.zinniaring.calls;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Finds out whether the backend server on this VM has ended after a connection to it broke. Since
 * no other process connects to the server, it has ended if none of this node's connections to it is
 * left and a new one is refused or does not stay open. Must be used on the event loop.
 */
final class CrashDetector {
    private static final int CONNECT_MILLIS = 250;

    /**
     * Times of the checks after a connection broke, in milliseconds. A process that ends closes its
     * connections one by one, and its listening socket before or after them.
     */
    private static final int[] CHECKS_AT_MILLIS = {0, 20, 100, 300};

    /** Checks whose results are waited for; the others find servers that end slowly. */
    private static final int AWAITED_CHECKS = 2;

    private final PooledHttpClient client;
    private final Consumer<LocalServer> endListener;
    private final Map<String, Suspicion> suspicions = new HashMap<>();

    /**
     * Creates a detector.
     *
     * @param endListener receives each server that has ended
     */
    CrashDetector(PooledHttpClient client, Consumer<LocalServer> endListener) {
        this.client = client;
        this.endListener = endListener;
    }

    /**
     * Checks a server after a connection to it broke.
     *
     * @param onKnown runs as soon as it is known whether the server has ended, or after 20 ms at
     *     the latest if the server still takes connections
     */
    void connectionBroken(LocalServer server, Runnable onKnown) {
        Suspicion present = suspicions.get(server.serverId());
        if (present != null) {
            present.await(onKnown);
            return;
        }
        Suspicion suspicion = new Suspicion(server);
        suspicions.put(server.serverId(), suspicion);
        suspicion.await(onKnown);
        suspicion.check();
    }

    /** Checks a server to which no connection could be opened. */
    void connectionRefused(LocalServer server) {
        if (client.openConnections(server.address()) == 0) {
            endListener.accept(server);
        }
    }

    /** The checks of one server. */
    private final class Suspicion {
        private final LocalServer server;
        private final List<Runnable> waiting = new ArrayList<>();
        private int checks;
        private @Nullable OutboundConnection reopened;

        Suspicion(LocalServer server) {
            this.server = server;
        }

        void await(Runnable onKnown) {
            if (checks >= AWAITED_CHECKS) {
                onKnown.run();
            } else {
                waiting.add(onKnown);
            }
        }

        void check() {
            OutboundConnection connection = reopened;
            if (client.openConnections(server.address()) > 0) {
                scheduleNext();
            } else if (connection == null) {
                client.open(server.address(), CONNECT_MILLIS, this::opened);
            } else if (connection.closedUnused()) {
                end();
            } else {
                scheduleNext();
            }
        }

        private void opened(@Nullable OutboundConnection connection) {
            reopened = connection;
            if (connection == null && client.openConnections(server.address()) == 0) {
                end();
            } else {
                scheduleNext();
            }
        }

        private void scheduleNext() {
            checks++;
            if (checks == AWAITED_CHECKS) {
                release();
            }
            if (checks == CHECKS_AT_MILLIS.length) {
                suspicions.remove(server.serverId());
                return;
            }
            long delayMillis = CHECKS_AT_MILLIS[checks] - CHECKS_AT_MILLIS[checks - 1];
            client.loop().schedule(this::check, delayMillis, TimeUnit.MILLISECONDS);
        }

        private void end() {
            suspicions.remove(server.serverId());
            endListener.accept(server);
            release();
        }

        private void release() {
            List<Runnable> released = List.copyOf(waiting);
            waiting.clear();
            released.forEach(Runnable::run);
        }
    }
}
