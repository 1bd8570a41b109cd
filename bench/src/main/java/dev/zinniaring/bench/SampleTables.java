package dev.zinniaring.bench;

import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Tables;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Creates tables of a given size for experiments. */
final class SampleTables {
    private static final int ROUTES_PER_SERVICE = 3;
    private static final int BASE_DEADLINE_MILLIS = 2_000;
    private static final int DEADLINE_STEPS = 50_000;

    private SampleTables() {}

    /**
     * Returns tables with one pool and three routes per service.
     *
     * @param edition number of the variant; two variants differ in one field of one route, like a
     *     typical configuration change
     */
    static Tables of(List<String> services, int edition) {
        List<Rank> ranks =
                List.of(
                        new Rank("check", 0, 100, 0.2),
                        new Rank("order", 1, 80, 0.2),
                        new Rank("report", 2, 1, 0.05));
        List<Route> routes = new ArrayList<>();
        List<Pool> pools = new ArrayList<>();
        for (String service : services) {
            pools.add(new Pool(service, service, BalancePolicy.LEAST_LOADED, 100, 1_000, 10));
            for (int i = 0; i < ROUTES_PER_SERVICE; i++) {
                routes.add(route(service, i, ranks.get(i).name(), BASE_DEADLINE_MILLIS));
            }
        }
        int changed = BASE_DEADLINE_MILLIS + 1 + edition % DEADLINE_STEPS;
        routes.set(0, route(services.get(0), 0, "check", changed));
        return Tables.of(ranks, routes, pools);
    }

    private static Route route(String service, int index, String rank, int deadlineMillis) {
        return new Route(
                service + "-" + index,
                "*",
                "/" + service + "/" + index,
                new TreeSet<>(List.of("GET", "POST")),
                rank,
                index == 0,
                deadlineMillis,
                1,
                service);
    }
}
