package dev.zinniaring.routing;

import dev.zinniaring.model.EndpointRecord;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the backend server of a call. Safe for use by several threads.
 *
 * <pre>{@code
 * EndpointRecord server = balancer.choose(match.pool(), Set.of(), "zone-a").orElseThrow();
 * balancer.started(server.serverId());
 * balancer.finished(server.serverId(), CallResult.of(CallOutcome.SUCCESS, latencyNanos));
 * }</pre>
 *
 * <p>Each {@code started} is followed by exactly one {@code finished}.
 */
public interface Balancer {
    /**
     * Chooses a backend server that takes work.
     *
     * @param pool the pool of the call
     * @param excludedServerIds servers that this call has tried already
     * @param ownZone availability zone of the caller's node
     * @return a server, or empty if no server is left
     */
    Optional<EndpointRecord> choose(
            PoolEndpoints pool, Set<String> excludedServerIds, String ownZone);

    /** Notes that an attempt at the backend server begins. */
    void started(String serverId);

    /** Notes that an attempt at the backend server has ended. */
    void finished(String serverId, CallResult result);

    /** Forgets all backend servers but {@code serverIds}; called when endpoints change. */
    void retain(Set<String> serverIds);
}
