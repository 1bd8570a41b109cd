package dev.zinniaring.calls;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Finds the route of a call by host and longest matching path prefix. Prefixes end with a slash, so
 * only the substrings of the path that end with a slash are looked up. Immutable; the next version
 * of a table shares the routes of the hosts that do not change.
 */
public final class RouteTable {
    private static final RouteTable EMPTY = new RouteTable(Map.of(), 0);

    private final Map<String, Map<String, CallRoute>> byHost;
    private final int size;

    private RouteTable(Map<String, Map<String, CallRoute>> byHost, int size) {
        this.byHost = byHost;
        this.size = size;
    }

    /** Returns a builder of a table without routes. */
    public static Builder builder() {
        return EMPTY.toBuilder();
    }

    /** Returns a builder that starts with the routes of this table. */
    public Builder toBuilder() {
        return new Builder(this);
    }

    /** Returns the number of routes. */
    public int size() {
        return size;
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

    /** Builds a {@link RouteTable}. */
    public static final class Builder {
        private final Map<String, Map<String, CallRoute>> byHost;
        private final Set<String> copiedHosts = new HashSet<>();
        private int size;

        private Builder(RouteTable table) {
            byHost = new HashMap<>(table.byHost);
            size = table.size;
        }

        /**
         * Adds a route, in place of one with its host and prefix.
         *
         * @return whether there was no route with its host and prefix
         */
        public boolean put(CallRoute added) {
            boolean first = writable(added).put(added.route().pathPrefix(), added) == null;
            size += first ? 1 : 0;
            return first;
        }

        /** Removes a route; does nothing if another one has taken its host and prefix. */
        public void remove(CallRoute removed) {
            if (writable(removed).remove(removed.route().pathPrefix(), removed)) {
                size--;
            }
        }

        private Map<String, CallRoute> writable(CallRoute route) {
            String host = route.route().host();
            if (copiedHosts.add(host)) {
                byHost.merge(host, new HashMap<>(), (shared, none) -> new HashMap<>(shared));
            }
            return byHost.computeIfAbsent(host, absent -> new HashMap<>());
        }

        /** Builds the table. The builder must not be used afterwards. */
        public RouteTable build() {
            return new RouteTable(byHost, size);
        }
    }
}
