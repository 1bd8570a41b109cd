package dev.zinniaring.model;

import dev.zinniaring.kernel.JsonFields;
import dev.zinniaring.kernel.Problem;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/** Parses JSON declarations of ranks, routes and pools, and collects every problem found. */
final class TablesReader {
    private static final int MAX_DEADLINE_MILLIS = 600_000;
    private static final int MAX_RETRIES = 10;
    private static final int MAX_ORDER = 100;
    private static final int MAX_WORTH = 1_000_000;
    private static final int MAX_WEIGHT = 1_000_000;
    private static final int MAX_QUEUED = 100_000;

    private final List<Problem> problems;
    private final List<Rank> ranks = new ArrayList<>();
    private final List<Route> routes = new ArrayList<>();
    private final List<Pool> pools = new ArrayList<>();

    TablesReader(List<Problem> problems) {
        this.problems = problems;
    }

    /**
     * Parses one document, an object with any of the lists {@code ranks}, {@code routes} and {@code
     * pools}.
     *
     * @param path prefix of the paths of problems, such as the file name
     */
    void read(String text, String path) {
        JsonFields document = JsonFields.parse(text, path, problems);
        document.objects("ranks").forEach(fields -> ranks.add(rank(fields)));
        document.objects("routes").forEach(fields -> routes.add(route(fields)));
        document.objects("pools").forEach(fields -> pools.add(pool(fields)));
        document.reportUnknownFields();
    }

    /** Reports duplicate names and returns the tables parsed from all documents. */
    Tables finish() {
        reportDuplicates("ranks", ranks.stream().map(Rank::name).toList());
        reportDuplicates("routes", routes.stream().map(Route::name).toList());
        reportDuplicates("pools", pools.stream().map(Pool::name).toList());
        return Tables.of(ranks, routes, pools);
    }

    private static Rank rank(JsonFields fields) {
        Rank rank =
                new Rank(
                        fields.text("name"),
                        fields.integer("order", 0, MAX_ORDER),
                        fields.integer("worth", 1, MAX_WORTH),
                        fields.number("floorShare", 0, 1, 0));
        fields.reportUnknownFields();
        return rank;
    }

    private static Route route(JsonFields fields) {
        Route route =
                new Route(
                        fields.text("name"),
                        fields.text("host", "*").toLowerCase(Locale.ROOT),
                        pathPrefix(fields),
                        methods(fields),
                        fields.text("rank"),
                        fields.flag("idempotent", false),
                        fields.integer("deadlineMillis", 1, MAX_DEADLINE_MILLIS),
                        fields.integer("maxRetries", 0, MAX_RETRIES, 0),
                        fields.text("pool"),
                        fields.integer("targetMillis", 0, MAX_DEADLINE_MILLIS, 0),
                        split(fields));
        fields.reportUnknownFields();
        return route;
    }

    private static SortedMap<String, Integer> split(JsonFields fields) {
        SortedMap<String, Integer> weights = new TreeMap<>();
        if (!fields.has("split")) {
            return weights;
        }
        JsonFields split = fields.object("split");
        for (String pool : split.names()) {
            weights.put(pool, split.integer(pool, 0, MAX_WEIGHT));
        }
        if (weights.values().stream().allMatch(weight -> weight == 0)) {
            fields.addProblem("split", weights.toString(), "at least one weight above 0");
        }
        return weights;
    }

    private static String pathPrefix(JsonFields fields) {
        String prefix = fields.text("pathPrefix", "/");
        if (!prefix.startsWith("/")) {
            fields.addProblem("pathPrefix", prefix, "a path that starts with /");
        }
        return prefix;
    }

    private static TreeSet<String> methods(JsonFields fields) {
        TreeSet<String> methods = new TreeSet<>();
        for (String method : fields.texts("methods")) {
            if (!method.equals(method.toUpperCase(Locale.ROOT))) {
                fields.addProblem("methods", method, "HTTP methods in upper case");
            }
            methods.add(method);
        }
        return methods;
    }

    private static Pool pool(JsonFields fields) {
        Pool pool =
                new Pool(
                        fields.text("name"),
                        fields.text("service"),
                        fields.choice("policy", BalancePolicy.class, BalancePolicy.LEAST_LOADED),
                        fields.integer("maxQueued", 0, MAX_QUEUED, 100),
                        fields.integer("maxQueueMillis", 0, MAX_DEADLINE_MILLIS, 1_000),
                        fields.integer("retryBudgetPercent", 0, 100, 10));
        fields.reportUnknownFields();
        return pool;
    }

    private void reportDuplicates(String list, List<String> names) {
        TreeSet<String> seen = new TreeSet<>();
        for (String name : names) {
            if (!seen.add(name)) {
                problems.add(new Problem(list, name, "a unique name"));
            }
        }
    }
}
