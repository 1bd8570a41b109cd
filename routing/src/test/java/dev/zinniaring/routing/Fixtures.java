package dev.zinniaring.routing;

import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Tables;
import dev.zinniaring.model.Version;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Tables and endpoint records for tests. */
final class Fixtures {
    static final int SLOTS = 10;

    private Fixtures() {}

    static Pool pool(String name) {
        return new Pool(name, "service-" + name, BalancePolicy.LEAST_LOADED, 100, 1_000, 10);
    }

    static Route route(String name, String host, String prefix, String pool, String... methods) {
        return new Route(
                name,
                host,
                prefix,
                new TreeSet<>(Set.of(methods)),
                "normal",
                false,
                1_000,
                1,
                pool);
    }

    static Version version(long number, List<Route> routes, Pool... pools) {
        Rank rank = new Rank("normal", 0, 1, 0.5);
        return new Version(number, "0", Tables.of(List.of(rank), routes, List.of(pools)));
    }

    static EndpointRecord server(String id, String zone) {
        return server(id, zone, EndpointState.READY, 0, 1);
    }

    static EndpointRecord server(
            String id, String zone, EndpointState state, int warmUpMillis, long sequence) {
        return new EndpointRecord(
                id,
                "service-p",
                "node-" + id,
                zone,
                "127.0.0.1:1",
                1,
                sequence,
                SLOTS,
                100,
                state,
                warmUpMillis);
    }

    static PoolEndpoints pool(EndpointRecord... servers) {
        return PoolEndpoints.of(pool("p"), List.of(servers));
    }
}
