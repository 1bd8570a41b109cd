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

/** One running instance of a fake backend server, from its start to its stop or crash. */
final class BackendServerInstance {
    private static final double COLD_START_FACTOR = 3;
    private static final int MAX_THREADS = 32;
    private static final int MIN_THREADS = 4;
    private static final long MAX_BODY_BYTES = 64L << 20;

    private final BackendServerBuilder options;
    private final ExecutorScheduler scheduler;
    private final BackendServerSlots slots;
    private final Javalin javalin;
    private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    private final Random random;
    private final long startNanos;
    private ServerConnector connector = new ServerConnector(new Server());

    BackendServerInstance(
            BackendServerBuilder options,
            int port,
            BiConsumer<BackendServerInstance, RoutesConfig> routeSetup) {
        this.options = options;
        scheduler = BackendServer.scheduler(options.serverId);
        slots = new BackendServerSlots(scheduler, options.slots);
        random = new Random(options.seed);
        startNanos = options.clock.nanos();
        threads.setName("server-" + options.serverId);
        threads.setDaemon(true);
        javalin =
                BackendServer.createJavalin(
                        config -> {
                            config.jetty.threadPool = threads;
                            config.http.maxRequestSize = MAX_BODY_BYTES;
                            config.jetty.addConnector(
                                    (server, http) -> {
                                        connector = connector(server, http, port);
                                        return connector;
                                    });
                            routeSetup.accept(this, config.routes);
                        });
        javalin.start();
    }

    private ServerConnector connector(
            Server server, org.eclipse.jetty.server.HttpConfiguration http, int port) {
        HttpConnectionFactory factory = new HttpConnectionFactory(http);
        ServerConnector created = new ServerConnector(server, null, null, null, 1, 1, factory);
        created.setHost("127.0.0.1");
        created.setPort(port);
        created.addBean(new ConnectionLimit(options.connections, created));
        created.addBean(new ConnectionCost());
        return created;
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
        return options.serviceTime.nextMicros(random);
    }

    /**
     * Returns a service time with the warm-up penalty: multiplied by a factor that falls linearly
     * from {@link #COLD_START_FACTOR} at the start to 1 at the end of the warm-up.
     */
    long withWarmUpPenalty(long micros) {
        return (long) (micros * (1 + (COLD_START_FACTOR - 1) * remainingWarmUpShare()));
    }

    boolean warm() {
        return remainingWarmUpShare() <= 0;
    }

    private double remainingWarmUpShare() {
        if (options.warmUpMillis == 0) {
            return 0;
        }
        double elapsedMillis = options.clock.since(startNanos).toMillis();
        return Math.max(0, 1 - elapsedMillis / options.warmUpMillis);
    }

    /** Closes all connections without a response and stops the server in the background. */
    void abort() {
        connector.getConnectedEndPoints().forEach(EndPoint::close);
        scheduler.close();
        // Stopping waits for calls in progress. On a server thread it would wait for the very call
        // that runs it, hence a thread of its own.
        Thread stopper = new Thread(this::stop, "server-stop-" + options.serverId);
        stopper.setDaemon(true);
        LifeCycle.stop(connector);
        stopper.start();
    }

    /** Completes the calls in progress, then stops. */
    void close() {
        stop();
        scheduler.close();
    }

    private void stop() {
        javalin.stop();
    }

    /** Occupies a slot for each new connection, to model the cost of accepting it. */
    private final class ConnectionCost implements Connection.Listener {
        @Override
        public void onOpened(Connection connection) {
            if (options.connectionCostMicros > 0) {
                slots.occupy(options.connectionCostMicros);
            }
        }

        @Override
        public void onClosed(Connection connection) {}
    }
}
