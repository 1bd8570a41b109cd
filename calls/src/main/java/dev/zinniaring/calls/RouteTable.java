package dev.zinniaring.calls;

import dev.zinniaring.model.Route;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Finds the route of a call by host and longest matching path prefix. Prefixes end with a slash, so
 * only the substrings of the path that end with a slash are looked up.
 */
public final class RouteTable {
    private final Map<String, Map<String, CallRoute>> byHost = new HashMap<>();

    RouteTable(Collection<Route> routes, Function<Route, CallRoute> compile) {
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.pathPrefix(), compile.apply(route));
        }
    }

    /**
     * Returns the route of a call, or null if there is none.
     *
     * @param host host name in lower case, without a port
     * @param path path without the query
     */
    public @Nullable CallRoute find(String host, String path) {
        Map<String, CallRoute> byPrefix = byHost.get(host);
        if (byPrefix == null) {
            return null;
        }
        for (int slash = path.lastIndexOf('/');
                slash >= 0;
                slash = path.lastIndexOf('/', slash - 1)) {
            CallRoute route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return route;
            }
        }
        return null;
    }
}
