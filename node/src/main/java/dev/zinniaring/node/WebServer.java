package dev.zinniaring.node;

import dev.zinniaring.kernel.KernelException;
import io.javalin.Javalin;
import io.javalin.config.RoutesConfig;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/** A small HTTP server for the announcements API and the admin API. */
final class WebServer {
    private static final int MAX_THREADS = 8;
    private static final int MIN_THREADS = 2;
    private static final int MAX_CONNECTIONS = 256;
    private static final int IDLE_MILLIS = 30_000;
    private static final long MAX_BODY_BYTES = 64 * 1024;

    private final String name;
    private final InetSocketAddress address;
    private final Javalin javalin;
    private @Nullable ServerConnector connector;

    WebServer(String name, InetSocketAddress address, Consumer<RoutesConfig> routes) {
        this.name = name;
        this.address = address;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName(name);
        threads.setDaemon(true);
        threads.setReservedThreads(0);
        javalin =
                Javalin.create(
                        config -> {
                            config.startup.showJavalinBanner = false;
                            config.startup.showOldJavalinVersionWarning = false;
                            config.startup.startupWatcherEnabled = false;
                            config.http.maxRequestSize = MAX_BODY_BYTES;
                            config.jetty.threadPool = threads;
                            config.jetty.addConnector((server, http) -> connect(server));
                            routes.accept(config.routes);
                        });
    }

    private ServerConnector connect(Server server) {
        ServerConnector created =
                new ServerConnector(server, null, null, null, 0, 1, new HttpConnectionFactory());
        created.setHost(address.getAddress().getHostAddress());
        created.setPort(address.getPort());
        created.setIdleTimeout(IDLE_MILLIS);
        created.addBean(new NetworkConnectionLimit(MAX_CONNECTIONS, created));
        connector = created;
        return created;
    }

    void start() throws KernelException {
        try {
            javalin.start();
        } catch (RuntimeException e) {
            throw new KernelException(name + " server cannot listen on " + address + ": " + e, e);
        }
    }

    InetSocketAddress address() {
        ServerConnector now = connector;
        int port = now == null ? address.getPort() : now.getLocalPort();
        return new InetSocketAddress(address.getAddress(), port);
    }

    void stop() {
        javalin.stop();
    }
}
