package dev.zinniaring.node;

import dev.zinniaring.distribution.Endpoints;
import dev.zinniaring.distribution.Versions;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Version;
import dev.zinniaring.routing.LiveRoutingTable;
import dev.zinniaring.routing.RoutingException;
import dev.zinniaring.routing.RoutingTable;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The active routing table, and the state of its pools. */
final class Routes {
    private static final Logger log = LoggerFactory.getLogger(Routes.class);

    private final LiveRoutingTable live = new LiveRoutingTable();
    private final Map<String, PoolState> pools = new ConcurrentHashMap<>();
    private final Versions versions;
    private final Endpoints endpoints;
    private final Clock clock;

    Routes(Versions versions, Endpoints endpoints, Clock clock) {
        this.versions = versions;
        this.endpoints = endpoints;
        this.clock = clock;
    }

    /** Starts to follow versions and endpoints; the consumer receives each activated version. */
    void follow(Consumer<Version> onActivated) {
        versions.subscribe(version -> activate(version, onActivated));
        endpoints.subscribe(view -> refresh());
        refresh();
        versions.active().ifPresent(version -> activate(version, onActivated));
    }

    Optional<RoutingTable> current() {
        return live.current();
    }

    PoolState pool(Pool pool) {
        PoolState state = pools.get(pool.name());
        return state != null && state.pool().equals(pool) ? state : update(pool);
    }

    private PoolState update(Pool pool) {
        return pools.compute(
                pool.name(),
                (name, before) ->
                        before == null ? PoolState.of(pool, clock) : before.withPool(pool, clock));
    }

    private void activate(Version version, Consumer<Version> onActivated) {
        try {
            if (live.activate(version)) {
                log.info("activated version {}", version.number());
                onActivated.accept(version);
            }
        } catch (RoutingException e) {
            log.error("failed to activate version {}", version.number(), e);
        }
    }

    private void refresh() {
        try {
            live.refresh(() -> endpoints.view().all());
            Set<String> present =
                    endpoints.view().all().stream()
                            .map(EndpointRecord::serverId)
                            .collect(Collectors.toSet());
            pools.values().forEach(pool -> pool.balancer().retain(present));
        } catch (RoutingException e) {
            log.error("failed to apply the changed endpoints", e);
        }
    }
}
