package dev.zinniaring.standins;

import dev.zinniaring.kernel.ExecutorScheduler;
import io.javalin.Javalin;
import io.javalin.config.RoutesConfig;
import java.util.Random;
import java.util.function.BiConsumer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.ConnectionLimit;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** One life of a fake backend server, from a start to a stop or crash. */
final class BackendServerLife {
    private static final double COLD_FACTOR = 3;
    private static final int MAX_THREADS = 32;
    private static final int MIN_THREADS = 4;
    private static final long MAX_BODY_BYTES = 64L << 20;

    private final BackendServerBuilder parts;
    private final ExecutorScheduler scheduler;
    private final BackendServerSlots slots;
    private final Javalin javalin;
    private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    private final Random random;
    private final long startNanos;
    private ServerConnector connector = new ServerConnector(new Server());

    BackendServerLife(
            BackendServerBuilder parts, int port, BiConsumer<BackendServerLife, RoutesConfig> set) {
        this.parts = parts;
        scheduler = BackendServer.scheduler(parts.serverId);
        slots = new BackendServerSlots(scheduler, parts.slots);
        random = new Random(parts.seed);
        startNanos = parts.clock.nanos();
        threads.setName("server-" + parts.serverId);
        threads.setDaemon(true);
        javalin =
                BackendServer.quiet(
                        config -> {
                            config.jetty.threadPool = threads;
                            config.http.maxRequestSize = MAX_BODY_BYTES;
                            config.jetty.addConnector(
                                    (server, http) -> {
                                        connector = connector(server, http, port);
                                        return connector;
                                    });
                            set.accept(this, config.routes);
                        });
        javalin.start();
    }

    private ServerConnector connector(
            Server server, org.eclipse.jetty.server.HttpConfiguration http, int port) {
        HttpConnectionFactory factory = new HttpConnectionFactory(http);
        ServerConnector made = new ServerConnector(server, null, null, null, 1, 1, factory);
        made.setHost("127.0.0.1");
        made.setPort(port);
        made.addBean(new ConnectionLimit(parts.connections, made));
        made.addBean(new ConnectionCost());
        return made;
    }

    int port() {
        return connector.getLocalPort();
    }

    ExecutorScheduler scheduler() {
        return scheduler;
    }

    BackendServerSlots slots() {
        return slots;
    }

    synchronized long serviceMicros() {
        return parts.serviceTime.nextMicros(random);
    }

    /** Returns the service time lengthened by what is left of the cold start. */
    long stretched(long micros) {
        return (long) (micros * (1 + (COLD_FACTOR - 1) * coldShare()));
    }

    boolean warm() {
        return coldShare() <= 0;
    }

    private double coldShare() {
        if (parts.warmUpMillis == 0) {
            return 0;
        }
        double elapsedMillis = parts.clock.since(startNanos).toMillis();
        return Math.max(0, 1 - elapsedMillis / parts.warmUpMillis);
    }

    /** Closes all connections without an answer. */
    void abort() {
        connector.getConnectedEndPoints().forEach(EndPoint::close);
        scheduler.close();
        // A stop on a thread of the server itself would wait for its own call to end.
        Thread stopper = new Thread(this::stop, "server-stop-" + parts.serverId);
        stopper.setDaemon(true);
        LifeCycle.stop(connector);
        stopper.start();
    }

    /** Finishes the calls that run, then stops. */
    void close() {
        stop();
        scheduler.close();
    }

    private void stop() {
        javalin.stop();
    }

    /** Charges each new connection to a slot. */
    private final class ConnectionCost implements Connection.Listener {
        @Override
        public void onOpened(Connection connection) {
            if (parts.connectionCostMicros > 0) {
                slots.work(parts.connectionCostMicros);
            }
        }

        @Override
        public void onClosed(Connection connection) {}
    }
}
