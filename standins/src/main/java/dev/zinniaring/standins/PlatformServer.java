package dev.zinniaring.standins;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.store.MemoryPlatform;
import dev.zinniaring.store.PlatformLimits;
import dev.zinniaring.store.RequestCounts;
import io.javalin.Javalin;
import io.javalin.compression.CompressionStrategy;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.util.function.Consumer;
import org.eclipse.jetty.io.ConnectionStatistics;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.jspecify.annotations.Nullable;

/**
 * An in-memory HTTP server for the platform's table service and object store, for tests,
 * experiments and development.
 *
 * <pre>{@code
 * try (PlatformServer server = PlatformServer.builder().start()) {
 *     TableService tables = new HttpTableService(http, server.tableUrl());
 *     server.platform().faults().outage(true);
 * }
 * }</pre>
 *
 * <p>Faults can also be injected with {@code PUT /admin/faults}, and counters read with {@code GET
 * /admin/counters}; see {@link PlatformAdmin}.
 */
public final class PlatformServer implements AutoCloseable {
    private final MemoryPlatform platform;
    private final Javalin javalin;
    private final String host;
    private final ConnectionStatistics closedConnections = new ConnectionStatistics();
    private @Nullable ServerConnector connector;

    private PlatformServer(Builder builder) {
        this.platform =
                builder.platform == null ? new MemoryPlatform(Clock.system()) : builder.platform;
        this.host = builder.host;
        this.javalin = Javalin.create(config -> configure(config, builder));
    }

    private void configure(JavalinConfig config, Builder builder) {
        config.startup.showJavalinBanner = false;
        config.startup.showOldJavalinVersionWarning = false;
        config.http.maxRequestSize = 2L * PlatformLimits.MAX_OBJECT_BYTES;
        config.http.compressionStrategy = CompressionStrategy.NONE;
        config.jetty.addConnector((server, http) -> connect(server, http, builder));
        Consumer<String> log = builder.requestLog;
        if (log != null) {
            config.requestLogger.http(
                    (context, millis) -> log.accept(line(context, Math.round(millis))));
        }
        PlatformRoutes.addTo(config.routes, platform);
        new PlatformAdmin(platform, this).addTo(config.routes);
    }

    private static String line(Context context, long millis) {
        return context.method()
                + " "
                + context.path()
                + " "
                + context.queryString()
                + " "
                + context.status().getCode()
                + " "
                + millis
                + "ms";
    }

    private ServerConnector connect(Server server, HttpConfiguration http, Builder builder) {
        // Headers without information for the client would inflate the count of control bytes.
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        ServerConnector created = new ServerConnector(server, new HttpConnectionFactory(http));
        created.setHost(builder.host);
        created.setPort(builder.port);
        created.addBean(closedConnections);
        connector = created;
        return created;
    }

    /** Returns a builder with default settings. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the base URL of the table service. */
    public String tableUrl() {
        return url() + "/table";
    }

    /** Returns the base URL of the object store. */
    public String objectUrl() {
        return url() + "/objects";
    }

    /** Returns the URL of the server, without a path. */
    public String url() {
        return "http://" + host + ":" + javalin.port();
    }

    /** Returns the platform that the server exposes, for direct access and fault injection. */
    public MemoryPlatform platform() {
        return platform;
    }

    /** Returns the request counts by kind. */
    public RequestCounts counts() {
        return platform.counts();
    }

    /** Returns the bytes received from clients over HTTP, headers included. */
    public long receivedBytes() {
        ServerConnector open = connector;
        long sum = closedConnections.getReceivedBytes();
        return open == null
                ? sum
                : sum
                        + open.getConnectedEndPoints().stream()
                                .mapToLong(endPoint -> endPoint.getConnection().getBytesIn())
                                .sum();
    }

    /** Returns the bytes sent to clients over HTTP, headers included. */
    public long sentBytes() {
        ServerConnector open = connector;
        long sum = closedConnections.getSentBytes();
        return open == null
                ? sum
                : sum
                        + open.getConnectedEndPoints().stream()
                                .mapToLong(endPoint -> endPoint.getConnection().getBytesOut())
                                .sum();
    }

    /** Stops the server. Its data is lost unless the platform was passed to the builder. */
    @Override
    public void close() {
        javalin.stop();
    }

    /** Builds a {@link PlatformServer}; every setting has a default. */
    public static final class Builder {
        private String host = "127.0.0.1";
        private int port;
        private @Nullable MemoryPlatform platform;

        private @Nullable Consumer<String> requestLog;

        private Builder() {}

        /** Sets a consumer of one log line per request; by default requests are not logged. */
        public Builder requestLog(Consumer<String> requestLog) {
            this.requestLog = requestLog;
            return this;
        }

        /** Sets the address to listen on; port 0 (the default) selects a free port. */
        public Builder address(String host, int port) {
            this.host = host;
            this.port = port;
            return this;
        }

        /** Sets the platform to serve instead of a new, empty one. */
        public Builder platform(MemoryPlatform platform) {
            this.platform = platform;
            return this;
        }

        /** Starts the server and returns it. */
        public PlatformServer start() {
            PlatformServer server = new PlatformServer(this);
            server.javalin.start();
            return server;
        }
    }
}
