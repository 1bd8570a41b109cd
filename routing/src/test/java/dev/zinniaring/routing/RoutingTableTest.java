package dev.zinniaring.routing;

import static dev.zinniaring.routing.Fixtures.pool;
import static dev.zinniaring.routing.Fixtures.route;
import static dev.zinniaring.routing.Fixtures.server;
import static dev.zinniaring.routing.Fixtures.version;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Version;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against calls matched to the wrong route, pools with outdated servers, and an invalid or
 * older version that replaces the active table.
 */
class RoutingTableTest {
    private static final List<Route> ROUTES =
            List.of(
                    route("root", "*", "/", "p"),
                    route("orders", "*", "/orders", "p"),
                    route("orders-post", "*", "/orders", "p", "POST"),
                    route("orders-items", "*", "/orders/items", "p", "GET"),
                    route("shelf", "shelf.example", "/orders", "p"),
                    route("shelf-slash", "shelf.example", "/stock/", "p"));

    @ParameterizedTest
    @CsvSource({
        "any.example, /, GET, root",
        "any.example, /ordersx, GET, root",
        "any.example, /orders, GET, orders",
        "any.example, /orders/, GET, orders",
        "any.example, /orders/7, GET, orders",
        "any.example, /orders/7, POST, orders-post",
        "any.example, /orders/items, GET, orders-items",
        "any.example, /orders/items/3/4, GET, orders-items",
        "any.example, /orders/items/3, POST, orders-post",
        "any.example, /orders/items/3, PUT, orders",
        "any.example, /orders/itemsx, GET, orders",
        "shelf.example, /orders/items, GET, shelf",
        "shelf.example, /stock, GET, shelf-slash",
        "shelf.example, /stock/1, GET, shelf-slash",
        "shelf.example, /other, GET, root"
    })
    void matchesExactHostThenLongestPrefixThenMethod(
            String host, String path, String method, String expected) throws RoutingException {
        RoutingTable table = RoutingTable.compile(version(1, ROUTES, pool("p")), List.of());
        assertThat(table.match(host, path, method).orElseThrow().route().name())
                .isEqualTo(expected);
    }

    @Test
    void returnsEmptyWithoutAMatchingRoute() throws RoutingException {
        Version version = version(1, List.of(route("a", "*", "/a", "p", "GET")), pool("p"));
        RoutingTable table = RoutingTable.compile(version, List.of());
        assertThat(table.match("h", "/b", "GET")).isEmpty();
        assertThat(table.match("h", "/a", "POST")).isEmpty();
    }

    @Test
    void refusesAVersionWhoseRouteRefersToAMissingPool() {
        Version version = version(7, List.of(route("a", "*", "/a", "none")), pool("p"));
        assertThatThrownBy(() -> RoutingTable.compile(version, List.of()))
                .isInstanceOf(RoutingException.class)
                .hasMessage("route \"a\" refers to pool \"none\", which version 7 lacks");
    }

    @Test
    void aPoolContainsTheNewestRecordsThatAcceptCalls() throws RoutingException {
        List<EndpointRecord> records =
                List.of(
                        server("ready", "z1"),
                        server("warming", "z1", EndpointState.WARMING, 1_000, 1),
                        server("draining", "z2", EndpointState.DRAINING, 0, 1),
                        server("gone", "z2", EndpointState.GONE, 0, 2),
                        server("gone", "z2", EndpointState.READY, 0, 1));
        RoutingTable table = RoutingTable.compile(version(1, ROUTES, pool("p")), records);
        PoolEndpoints endpoints = table.pools().get("p");
        assertThat(endpoints.endpoints())
                .extracting(EndpointRecord::serverId)
                .containsExactly("ready", "warming");
        assertThat(endpoints.endpointsIn("z2")).isEmpty();
        assertThat(endpoints.endpointsOutside("z2")).hasSize(2);
    }

    @Test
    void theActiveVersionNeverDecreasesAndAnInvalidVersionLeavesTheTableUnchanged()
            throws RoutingException {
        LiveRoutingTable live = new LiveRoutingTable();
        live.refresh(() -> List.of(server("s", "z1")));
        assertThat(live.activate(version(2, ROUTES, pool("p")))).isTrue();
        assertThat(live.activate(version(1, ROUTES, pool("p")))).isFalse();
        Version bad = version(3, List.of(route("a", "*", "/a", "none")), pool("p"));
        assertThatThrownBy(() -> live.activate(bad)).isInstanceOf(RoutingException.class);
        RoutingTable table = live.current().orElseThrow();
        assertThat(table.version().number()).isEqualTo(2);
        assertThat(table.pools().get("p").endpoints()).hasSize(1);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void findsTheSameRouteAsALinearSearch(long seed) throws RoutingException {
        SplittableRandom random = new SplittableRandom(seed);
        List<Route> routes = new ArrayList<>();
        for (int index = 0; index < 12; index++) {
            String host = random.nextBoolean() ? "*" : "h";
            String[] methods = random.nextBoolean() ? new String[0] : new String[] {"GET"};
            Route route = route("r" + index, host, path(random), "p", methods);
            if (routes.stream().noneMatch(other -> sameMatch(other, route))) {
                routes.add(route);
            }
        }
        RoutingTable table = RoutingTable.compile(version(1, routes, pool("p")), List.of());
        for (int call = 0; call < 20; call++) {
            String path = path(random);
            String method = random.nextBoolean() ? "GET" : "PUT";
            Optional<Route> expected =
                    routes.stream()
                            .filter(route -> matches(route, path, method))
                            .max(
                                    Comparator.comparing((Route route) -> !route.host().equals("*"))
                                            .thenComparing(route -> route.pathPrefix().length())
                                            .thenComparing(route -> route.methods().size()));
            assertThat(table.match("h", path, method).map(RouteMatch::route)).isEqualTo(expected);
        }
    }

    private static String path(SplittableRandom random) {
        StringBuilder path = new StringBuilder();
        int depth = random.nextInt(4);
        for (int segment = 0; segment < depth; segment++) {
            path.append('/').append((char) ('a' + random.nextInt(2)));
        }
        return path.isEmpty() ? "/" : path.toString();
    }

    private static boolean sameMatch(Route one, Route other) {
        return one.host().equals(other.host())
                && one.pathPrefix().equals(other.pathPrefix())
                && one.methods().equals(other.methods());
    }

    private static boolean matches(Route route, String path, String method) {
        String prefix = route.pathPrefix();
        boolean pathMatches =
                prefix.equals("/") || path.equals(prefix) || path.startsWith(prefix + "/");
        return pathMatches && (route.methods().isEmpty() || route.methods().contains(method));
    }

    static LongStream seeds() {
        return LongStream.concat(
                LongStream.of(0, 1, -1, Long.MIN_VALUE, Long.MAX_VALUE), new Random(31).longs(300));
    }
}
