package dev.zinniaring.routing;

import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Tables;
import dev.zinniaring.model.Version;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Finds the route of a call. Compiled from one configuration version and the known backend servers;
 * immutable.
 *
 * <pre>{@code
 * RoutingTable table = RoutingTable.compile(version, endpoints);
 * Optional<RouteMatch> match = table.match("shelf.example", "/orders/17", "POST");
 * }</pre>
 *
 * <p>An exact host takes precedence over {@code *}, then the longest path prefix is chosen, and
 * then a route that names the method takes precedence over one for any method.
 */
public final class RoutingTable {
    private final Version version;
    private final SortedMap<String, PoolEndpoints> pools;
    private final Map<String, PathIndex> indexByHost = new HashMap<>();

    private RoutingTable(Version version, SortedMap<String, PoolEndpoints> pools) {
        this.version = version;
        this.pools = Collections.unmodifiableSortedMap(pools);
    }

    /**
     * Compiles a table. Of several records of one backend server, the newest is used.
     *
     * @throws RoutingException if a route refers to a rank or pool that {@code version} does not
     *     contain
     */
    public static RoutingTable compile(Version version, Collection<EndpointRecord> endpoints)
            throws RoutingException {
        Tables tables = version.tables();
        Map<String, List<EndpointRecord>> byService = newestByService(endpoints);
        SortedMap<String, PoolEndpoints> pools = new TreeMap<>();
        for (Pool pool : tables.pools().values()) {
            List<EndpointRecord> records = byService.getOrDefault(pool.service(), List.of());
            pools.put(pool.name(), PoolEndpoints.of(pool, records));
        }
        RoutingTable table = new RoutingTable(version, pools);
        for (Route route : tables.routes().values()) {
            table.add(route, tables);
        }
        return table;
    }

    /** Returns the version that this table was compiled from. */
    public Version version() {
        return version;
    }

    /** Returns the pools by name. */
    public SortedMap<String, PoolEndpoints> pools() {
        return pools;
    }

    /**
     * Returns the route of a call, or empty if no route matches.
     *
     * @param host host name in lower case, without a port
     * @param path path without the query, starting with {@code /}
     * @param method HTTP method in upper case
     */
    public Optional<RouteMatch> match(String host, String path, String method) {
        PathIndex exact = indexByHost.get(host);
        if (exact != null) {
            Optional<RouteMatch> match = exact.find(path, method);
            if (match.isPresent()) {
                return match;
            }
        }
        PathIndex wildcard = indexByHost.get("*");
        return wildcard == null ? Optional.empty() : wildcard.find(path, method);
    }

    private void add(Route route, Tables tables) throws RoutingException {
        PoolEndpoints pool = pools.get(route.pool());
        if (pool == null) {
            throw new RoutingException(
                    "route \"%s\" refers to pool \"%s\", which version %d lacks"
                            .formatted(route.name(), route.pool(), version.number()));
        }
        Rank rank = tables.ranks().get(route.rank());
        if (rank == null) {
            throw new RoutingException(
                    "route \"%s\" refers to rank \"%s\", which version %d lacks"
                            .formatted(route.name(), route.rank(), version.number()));
        }
        indexByHost
                .computeIfAbsent(route.host(), host -> new PathIndex())
                .add(new RouteMatch(route, rank, pool));
    }

    private static Map<String, List<EndpointRecord>> newestByService(
            Collection<EndpointRecord> endpoints) {
        Map<String, EndpointRecord> newest = new HashMap<>();
        for (EndpointRecord record : endpoints) {
            newest.merge(
                    record.serverId(), record, (old, other) -> other.newerThan(old) ? other : old);
        }
        Map<String, List<EndpointRecord>> byService = new HashMap<>();
        for (EndpointRecord record : newest.values()) {
            byService.computeIfAbsent(record.service(), name -> new ArrayList<>()).add(record);
        }
        return byService;
    }
}
