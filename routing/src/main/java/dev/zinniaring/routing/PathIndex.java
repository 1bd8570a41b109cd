package dev.zinniaring.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The routes of one host as a tree of path segments. Written while a table is compiled, only read
 * afterwards.
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

    Optional<RouteMatch> find(String path, String method) {
        Node node = root;
        Optional<RouteMatch> found = node.find(method);
        int start = 1;
        while (start < path.length()) {
            int end = path.indexOf('/', start);
            int stop = end < 0 ? path.length() : end;
            Node child = node.children.get(path.substring(start, stop));
            if (child == null) {
                return found;
            }
            node = child;
            Optional<RouteMatch> deeper = node.find(method);
            found = deeper.isPresent() ? deeper : found;
            start = stop + 1;
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
