package dev.zinniaring.routing;

import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.Version;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * Holds the routing table in force and swaps it whole when a version or the endpoints change. A
 * version number never goes down (P1), and a change of one input never undoes a concurrent change
 * of the other.
 */
public final class LiveRoutingTable {
    private record State(Optional<RoutingTable> table, Collection<EndpointRecord> endpoints) {
        long number() {
            return table.map(present -> present.version().number()).orElse(0L);
        }
    }

    private final AtomicReference<State> state =
            new AtomicReference<>(new State(Optional.empty(), List.of()));

    /** Returns the table in force, or empty before the first version. */
    public Optional<RoutingTable> current() {
        return state().table();
    }

    /**
     * Puts {@code version} in force if its number is higher than that in force.
     *
     * @return whether it is now in force because of this call
     * @throws RoutingException if the version cannot be compiled; the table in force stays
     */
    public boolean activate(Version version) throws RoutingException {
        while (true) {
            State before = state();
            if (before.number() >= version.number()) {
                return false;
            }
            RoutingTable table = RoutingTable.compile(version, before.endpoints());
            State after = new State(Optional.of(table), before.endpoints());
            if (state.compareAndSet(before, after)) {
                return true;
            }
        }
    }

    /**
     * Takes up the present endpoints. Call it after each change of them; concurrent calls may come
     * in any order, because the endpoints are read anew for each attempt to swap.
     *
     * @param endpoints returns the present endpoint records
     * @throws RoutingException if the version in force cannot be compiled; the table stays
     */
    public void refresh(Supplier<? extends Collection<EndpointRecord>> endpoints)
            throws RoutingException {
        while (true) {
            State before = state();
            List<EndpointRecord> present = List.copyOf(endpoints.get());
            Optional<RoutingTable> table = before.table();
            if (table.isPresent()) {
                table = Optional.of(RoutingTable.compile(table.get().version(), present));
            }
            if (state.compareAndSet(before, new State(table, present))) {
                return;
            }
        }
    }

    private State state() {
        return Objects.requireNonNull(state.get());
    }
}
