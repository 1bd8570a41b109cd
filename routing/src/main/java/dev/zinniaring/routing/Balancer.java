package dev.zinniaring.routing;

import dev.zinniaring.model.EndpointRecord;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the backend server for each call of a pool. Implementations are thread-safe.
 *
 * <pre>{@code
 * EndpointRecord server = balancer.choose(match.pool(), Set.of(), "zone-a").orElseThrow();
 * balancer.started(server.serverId());
 * balancer.finished(server.serverId(), CallResult.of(CallOutcome.SUCCESS, latencyNanos));
 * }</pre>
 *
 * <p>Each call of {@code started} must be followed by exactly one call of {@code finished}.
 */
public interface Balancer {
    /**
     * Chooses a backend server that accepts calls.
     *
     * @param pool the pool of the call
     * @param excludedServerIds servers that were already tried for this call
     * @param ownZone availability zone of the caller's node
     * @return a server, or empty if all servers of the pool are excluded
     */
    Optional<EndpointRecord> choose(
            PoolEndpoints pool, Set<String> excludedServerIds, String ownZone);

    /** Records the start of an attempt at the backend server. */
    void started(String serverId);

    /** Records the end and the result of an attempt at the backend server. */
    void finished(String serverId, CallResult result);

    /**
     * Removes the state of all backend servers except {@code serverIds}; called when endpoints
     * change.
     */
    void retain(Set<String> serverIds);
}
