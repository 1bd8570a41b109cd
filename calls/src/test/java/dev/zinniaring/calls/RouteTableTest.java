package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.model.Route;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private final RouteTable table =
            new RouteTable(
                    List.of(route("short", "/a/"), route("long", "/a/b/")),
                    route -> new CallRoute(route, 0, WeightedRoundRobin.of(Map.of("s", 1))));

    private static Route route(String name, String prefix) {
        return new Route(name, "h", prefix, new TreeSet<>(), "r", true, 100, 0, "p");
    }

    private String find(String host, String path) {
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
}
