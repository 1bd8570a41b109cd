package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.model.Route;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private final RouteTable table =
            withRoutes(RouteTable.builder(), route("short", "/a/"), route("long", "/a/b/"));

    private static RouteTable withRoutes(RouteTable.Builder builder, CallRoute... routes) {
        for (CallRoute route : routes) {
            assertThat(builder.put(route)).isTrue();
        }
        return builder.build();
    }

    private static CallRoute route(String name, String prefix) {
        Route route = new Route(name, "h", prefix, new TreeSet<>(), "r", true, 100, 0, "p");
        return new CallRoute(route, 0, WeightedRoundRobin.of(Map.of("s", 1)));
    }

    private String find(String host, String path) {
        return find(table, host, path);
    }

    private static String find(RouteTable table, String host, String path) {
        CallRoute found = table.find(host, path);
        return found == null ? "none" : found.route().name();
    }

    @Test
    void theLongestPrefixMatches() {
        assertThat(find("h", "/a/b/c")).isEqualTo("long");
        assertThat(find("h", "/a/x/c")).isEqualTo("short");
    }

    /** A path that merely resembles a prefix must not be routed to its service. */
    @Test
    void aPathWithoutTheSlashOrWithAnotherHostHasNoRoute() {
        assertThat(find("h", "/a")).isEqualTo("none");
        assertThat(find("h", "/ab/")).isEqualTo("none");
        assertThat(find("h", "//a/")).isEqualTo("none");
        assertThat(find("other", "/a/b/c")).isEqualTo("none");
    }

    /** Calls that look up the version in force must not see the next one in part. */
    @Test
    void theNextVersionOfATableLeavesThisOneAsItIs() {
        RouteTable.Builder builder = table.toBuilder();
        builder.remove(table.find("h", "/a/b/"));
        RouteTable next = withRoutes(builder, route("new", "/n/"));
        assertThat(next.size()).isEqualTo(2);
        assertThat(find(next, "h", "/a/b/c")).isEqualTo("short");
        assertThat(find(next, "h", "/n/x")).isEqualTo("new");
        assertThat(table.size()).isEqualTo(2);
        assertThat(find("h", "/a/b/c")).isEqualTo("long");
        assertThat(find("h", "/n/x")).isEqualTo("none");
    }

    @Test
    void aSecondRouteWithAHostAndPrefixIsReported() {
        RouteTable.Builder builder = table.toBuilder();
        assertThat(builder.put(route("same", "/a/"))).isFalse();
        assertThat(builder.build().size()).isEqualTo(2);
    }
}
