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
 * Holds the active routing table and replaces it atomically when the configuration version or the
 * endpoints change. The version number never decreases (P1 in docs/design.md), and a change of one
 * input never undoes a concurrent change of the other.
 */
public final class LiveRoutingTable {
    private record State(Optional<RoutingTable> table, Collection<EndpointRecord> endpoints) {
        long number() {
            return table.map(present -> present.version().number()).orElse(0L);
        }
    }

    private final AtomicReference<State> state =
            new AtomicReference<>(new State(Optional.empty(), List.of()));

    /** Returns the active table, or empty before the first version. */
    public Optional<RoutingTable> current() {
        return state().table();
    }

    /**
     * Activates {@code version} if its number is higher than that of the active version.
     *
     * @return whether this call activated the version
     * @throws RoutingException if the version cannot be compiled; the active table remains
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
     * Recompiles the active table with the current endpoints. Must be called after each change of
     * them. Concurrent calls may happen in any order, because each compare-and-set attempt reads
     * the endpoints again.
     *
     * @param endpoints supplies the current endpoint records
     * @throws RoutingException if the active version cannot be compiled; the active table remains
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
