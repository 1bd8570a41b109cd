package dev.zinniaring.distribution;

import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Tables;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Creates valid tables for tests. */
final class SimTables {
    private SimTables() {}

    /** Returns tables with {@code routes} routes, one of which differs by {@code variant}. */
    static Tables of(int routes, int variant) {
        List<Route> list = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            list.add(route(i, i == variant % routes ? 1_000 + variant : 500));
        }
        Pool pool = new Pool("p", "service", BalancePolicy.LEAST_LOADED, 1, 1, 10);
        return Tables.of(List.of(new Rank("r", 0, 1, 0)), list, List.of(pool));
    }

    private static Route route(int i, int deadlineMillis) {
        return new Route(
                "route" + i, "*", "/" + i, new TreeSet<>(), "r", false, deadlineMillis, 0, "p");
    }
}
