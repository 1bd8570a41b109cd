package dev.zinniaring.model;

import dev.zinniaring.kernel.Problem;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Validates constraints that span several entries of the tables. */
final class TablesValidator {
    /** Allows for rounding errors in the sum of the shares. */
    private static final double SHARE_TOLERANCE = 1e-9;

    private TablesValidator() {}

    /** Adds every violated constraint to {@code problems}. */
    static void validate(Tables tables, List<Problem> problems) {
        checkReferences(tables, problems);
        checkRanks(tables, problems);
        checkRouteMatches(tables, problems);
    }

    private static void checkReferences(Tables tables, List<Problem> problems) {
        for (Route route : tables.routes().values()) {
            String path = "routes." + route.name();
            for (String pool : route.pools()) {
                if (!tables.pools().containsKey(pool)) {
                    problems.add(new Problem(path + ".pool", pool, "the name of a declared pool"));
                }
            }
            if (!tables.ranks().containsKey(route.rank())) {
                problems.add(
                        new Problem(path + ".rank", route.rank(), "the name of a declared rank"));
            }
        }
    }

    private static void checkRanks(Tables tables, List<Problem> problems) {
        Map<Integer, String> namesByOrder = new HashMap<>();
        double shares = 0;
        for (Rank rank : tables.ranks().values()) {
            shares += rank.floorShare();
            String other = namesByOrder.putIfAbsent(rank.order(), rank.name());
            if (other != null) {
                problems.add(
                        new Problem(
                                "ranks." + rank.name() + ".order",
                                Integer.toString(rank.order()),
                                "an order that rank " + other + " does not have"));
            }
        }
        if (shares > 1 + SHARE_TOLERANCE) {
            problems.add(
                    new Problem("ranks", "floor shares add up to " + shares, "a sum of at most 1"));
        }
    }

    /** Reports routes with equal host, prefix and methods: the choice would be ambiguous. */
    private static void checkRouteMatches(Tables tables, List<Problem> problems) {
        Map<String, String> namesByMatch = new HashMap<>();
        for (Route route : tables.routes().values()) {
            String match = route.host() + " " + route.pathPrefix() + " " + route.methods();
            String other = namesByMatch.putIfAbsent(match, route.name());
            if (other != null) {
                problems.add(
                        new Problem(
                                "routes." + route.name(),
                                match,
                                "a host, path prefix and methods that route "
                                        + other
                                        + " does not have"));
            }
        }
    }
}
