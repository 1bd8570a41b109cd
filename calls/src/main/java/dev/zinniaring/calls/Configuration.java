package dev.zinniaring.calls;

import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Tables;
import java.util.Map;
import java.util.TreeMap;

/**
 * A version of the configuration, compiled for lookups. Immutable but for the turn counters of
 * divided routes.
 */
public final class Configuration {
    private final long number;
    private final Tables tables;
    private final Map<String, ServerSettings> servers;
    private final ClientLimits limits;
    private final RouteTable routes;

    /**
     * Compiles a configuration.
     *
     * @param number version; a higher one replaces a lower one
     * @param tables valid tables
     * @param servers settings of backend servers by service
     */
    public Configuration(
            long number, Tables tables, Map<String, ServerSettings> servers, ClientLimits limits) {
        this.number = number;
        this.tables = tables;
        this.servers = Map.copyOf(servers);
        this.limits = limits;
        this.routes = new RouteTable(tables.routes().values(), this::compile);
    }

    private CallRoute compile(Route route) {
        Rank rank = tables.ranks().get(route.rank());
        Map<String, Integer> services = new TreeMap<>();
        if (route.split().isEmpty()) {
            services.put(service(route.pool()), 1);
        } else {
            route.split()
                    .forEach((pool, weight) -> services.merge(service(pool), weight, this::sum));
        }
        return new CallRoute(route, rank == null ? 0 : rank.order(), WeightedTurns.of(services));
    }

    private int sum(int one, int other) {
        return one + other;
    }

    private String service(String poolName) {
        Pool pool = tables.pools().get(poolName);
        if (pool == null) {
            throw new IllegalArgumentException("pool " + poolName + " is not declared");
        }
        return pool.service();
    }

    /** Returns the version. */
    public long number() {
        return number;
    }

    /** Returns the tables. */
    public Tables tables() {
        return tables;
    }

    /** Returns the limits for clients. */
    public ClientLimits limits() {
        return limits;
    }

    /** Returns the routes. */
    public RouteTable routes() {
        return routes;
    }

    /** Returns the settings of the backend servers of a service. */
    public ServerSettings server(String service) {
        return servers.getOrDefault(service, new ServerSettings("/health", Integer.MAX_VALUE));
    }
}
