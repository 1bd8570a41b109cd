package dev.zinniaring.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Index of the routes of one host as a trie of path segments. Built while a table is compiled, and
 * read-only afterwards.
 */
final class PathIndex {
    private final Node root = new Node();

    void add(RouteMatch match) {
        Node node = root;
        for (String segment : match.route().pathPrefix().split("/", -1)) {
            if (!segment.isEmpty()) {
                node = node.children.computeIfAbsent(segment, name -> new Node());
            }
        }
        node.add(match);
    }

    /** Returns the route with the longest matching path prefix that allows the method. */
    Optional<RouteMatch> find(String path, String method) {
        Node node = root;
        Optional<RouteMatch> found = node.find(method);
        int start = 1;
        while (start < path.length()) {
            int end = path.indexOf('/', start);
            int segmentEnd = end < 0 ? path.length() : end;
            Node child = node.children.get(path.substring(start, segmentEnd));
            if (child == null) {
                return found;
            }
            node = child;
            Optional<RouteMatch> deeper = node.find(method);
            found = deeper.isPresent() ? deeper : found;
            start = segmentEnd + 1;
        }
        return found;
    }

    private static final class Node {
        private final Map<String, Node> children = new HashMap<>();
        private final Map<String, Optional<RouteMatch>> byMethod = new HashMap<>();
        private Optional<RouteMatch> anyMethod = Optional.empty();

        void add(RouteMatch match) {
            if (match.route().methods().isEmpty()) {
                anyMethod = Optional.of(match);
                return;
            }
            for (String method : match.route().methods()) {
                byMethod.put(method, Optional.of(match));
            }
        }

        Optional<RouteMatch> find(String method) {
            Optional<RouteMatch> specific = byMethod.get(method);
            return specific != null ? specific : anyMethod;
        }
    }
}
