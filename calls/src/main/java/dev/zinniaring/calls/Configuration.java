package dev.zinniaring.calls;

import dev.zinniaring.accounts.AccountTable;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Tables;
import java.util.Map;
import java.util.TreeMap;

/**
 * One version of the configuration, compiled for lookups. Immutable except for the round-robin
 * state of routes that split traffic over several pools.
 */
public final class Configuration {
    private final long number;
    private final Map<String, ServerSettings> servers;
    private final ClientLimits limits;
    private final RouteTable routes;
    private final AccountTable accounts;

    /**
     * Compiles a configuration.
     *
     * @param number version number; a higher version replaces a lower one
     * @param tables validated tables
     * @param servers backend server settings by service name
     * @param limits limits for requests from clients
     * @throws IllegalArgumentException if a route refers to a pool that is not declared
     */
    public Configuration(
            long number, Tables tables, Map<String, ServerSettings> servers, ClientLimits limits) {
        this(number, compile(tables), servers, limits, AccountTable.EMPTY);
    }

    /**
     * Creates a configuration of routes that have been compiled.
     *
     * @param number version number; a higher version replaces a lower one
     * @param servers backend server settings by service name
     * @param limits limits for requests from clients
     * @param accounts client accounts
     */
    public Configuration(
            long number,
            RouteTable routes,
            Map<String, ServerSettings> servers,
            ClientLimits limits,
            AccountTable accounts) {
        this.number = number;
        this.routes = routes;
        this.servers = Map.copyOf(servers);
        this.limits = limits;
        this.accounts = accounts;
    }

    private static RouteTable compile(Tables tables) {
        RouteTable.Builder compiled = RouteTable.builder();
        for (Route route : tables.routes().values()) {
            compiled.put(compile(route, tables));
        }
        return compiled.build();
    }

    private static CallRoute compile(Route route, Tables tables) {
        Rank rank = tables.ranks().get(route.rank());
        Map<String, Integer> services = new TreeMap<>();
        if (route.split().isEmpty()) {
            services.put(service(route.pool(), tables), 1);
        } else {
            route.split()
                    .forEach(
                            (pool, weight) ->
                                    services.merge(service(pool, tables), weight, Integer::sum));
        }
        return new CallRoute(
                route, rank == null ? 0 : rank.order(), WeightedRoundRobin.of(services));
    }

    private static String service(String poolName, Tables tables) {
        Pool pool = tables.pools().get(poolName);
        if (pool == null) {
            throw new IllegalArgumentException(
                    "route refers to pool " + poolName + ", which is not declared");
        }
        return pool.service();
    }

    /** Returns the version number. */
    public long number() {
        return number;
    }

    /** Returns the limits for requests from clients. */
    public ClientLimits limits() {
        return limits;
    }

    /** Returns the client accounts. */
    public AccountTable accounts() {
        return accounts;
    }

    /** Returns the compiled routes. */
    public RouteTable routes() {
        return routes;
    }

    /**
     * Returns the settings of the backend servers of a service. A service without settings of its
     * own gets the health path {@code /health} and no connection limit.
     */
    public ServerSettings server(String service) {
        return servers.getOrDefault(service, new ServerSettings("/health", Integer.MAX_VALUE));
    }
}
