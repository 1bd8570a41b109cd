package dev.zinniaring.bench;

import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Tables;
import dev.zinniaring.model.Version;
import dev.zinniaring.routing.RouteMatch;
import dev.zinniaring.routing.RoutingException;
import dev.zinniaring.routing.RoutingTable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures time and allocation of a route match with 190 services of 4 routes each. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class RouteMatchJmh {
    private static final int SERVICES = 190;
    private static final int SERVERS = 2_200;
    private static final Version VERSION = version();
    private static final List<EndpointRecord> ENDPOINTS = endpoints();

    private RoutingTable table = tableOrFail();

    /** Compiles the routing table before each trial. */
    @Setup
    public void compile() {
        table = tableOrFail();
    }

    /** Matches a path of four segments against a route prefix of two segments. */
    @Benchmark
    public Optional<RouteMatch> deepPath() {
        return table.match("mesh.example", "/service-120/items/4711/lines", "GET");
    }

    /** Matches a path that no route covers. */
    @Benchmark
    public Optional<RouteMatch> noMatch() {
        return table.match("mesh.example", "/unknown/items", "GET");
    }

    /** Compiles the whole table with 2,200 backend servers, as each endpoint change requires. */
    @Benchmark
    @OutputTimeUnit(TimeUnit.MICROSECONDS)
    public RoutingTable compileTable() {
        return compileOrFail(VERSION, ENDPOINTS);
    }

    private static RoutingTable tableOrFail() {
        return compileOrFail(VERSION, List.of());
    }

    private static RoutingTable compileOrFail(Version version, List<EndpointRecord> endpoints) {
        try {
            return RoutingTable.compile(version, endpoints);
        } catch (RoutingException e) {
            throw new IllegalStateException("benchmark table does not compile", e);
        }
    }

    private static List<EndpointRecord> endpoints() {
        List<EndpointRecord> endpoints = new ArrayList<>();
        for (int server = 0; server < SERVERS; server++) {
            endpoints.add(
                    new EndpointRecord(
                            "server-" + server,
                            "service-" + server % SERVICES,
                            "node-" + server,
                            "zone-" + server % 7,
                            "127.0.0.1:1",
                            1,
                            1,
                            18,
                            120,
                            EndpointState.READY,
                            0));
        }
        return endpoints;
    }

    private static Version version() {
        List<Route> routes = new ArrayList<>();
        List<Pool> pools = new ArrayList<>();
        for (int service = 0; service < SERVICES; service++) {
            String name = "service-" + service;
            pools.add(new Pool(name, name, BalancePolicy.LEAST_LOADED, 100, 1_000, 10));
            routes.add(route(name + "-get", "/" + name, name, List.of("GET")));
            routes.add(route(name + "-any", "/" + name, name, List.of()));
            routes.add(route(name + "-items", "/" + name + "/items", name, List.of()));
            routes.add(route(name + "-post", "/" + name + "/items", name, List.of("POST")));
        }
        Tables tables = Tables.of(List.of(new Rank("normal", 0, 1, 0)), routes, pools);
        return new Version(1, "0", tables);
    }

    private static Route route(String name, String prefix, String pool, List<String> methods) {
        return new Route(
                name, "*", prefix, new TreeSet<>(methods), "normal", false, 1_000, 1, pool);
    }
}
