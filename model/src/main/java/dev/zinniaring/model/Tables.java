package dev.zinniaring.model;

import java.util.Collection;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The complete routing configuration that operators declare: ranks, routes and pools. Immutable.
 *
 * @param ranks ranks by name
 * @param routes routes by name
 * @param pools pools by name
 */
public record Tables(
        SortedMap<String, Rank> ranks,
        SortedMap<String, Route> routes,
        SortedMap<String, Pool> pools) {
    /** Tables without entries, the initial state of a mesh. */
    public static final Tables EMPTY =
            new Tables(new TreeMap<>(), new TreeMap<>(), new TreeMap<>());

    /** Makes defensive copies of the maps. */
    public Tables {
        ranks = Collections.unmodifiableSortedMap(new TreeMap<>(ranks));
        routes = Collections.unmodifiableSortedMap(new TreeMap<>(routes));
        pools = Collections.unmodifiableSortedMap(new TreeMap<>(pools));
    }

    /** Returns tables of the given entries; a later entry replaces an earlier one with its name. */
    public static Tables of(
            Collection<Rank> ranks, Collection<Route> routes, Collection<Pool> pools) {
        return new Tables(
                byName(ranks, Rank::name), byName(routes, Route::name), byName(pools, Pool::name));
    }

    private static <T> SortedMap<String, T> byName(
            Collection<T> entries, Function<T, String> name) {
        SortedMap<String, T> map = new TreeMap<>();
        for (T entry : entries) {
            map.put(name.apply(entry), entry);
        }
        return map;
    }
}
