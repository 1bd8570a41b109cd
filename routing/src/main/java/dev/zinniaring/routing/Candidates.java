package dev.zinniaring.routing;

import dev.zinniaring.model.EndpointRecord;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Helper methods to search a list of endpoints. */
final class Candidates {
    private Candidates() {}

    /** Returns the first endpoint, cyclically from index {@code from}, that is not excluded. */
    static Optional<EndpointRecord> firstAllowed(
            List<EndpointRecord> endpoints, int from, Set<String> excludedServerIds) {
        for (int step = 0; step < endpoints.size(); step++) {
            EndpointRecord endpoint = endpoints.get((from + step) % endpoints.size());
            if (!excludedServerIds.contains(endpoint.serverId())) {
                return Optional.of(endpoint);
            }
        }
        return Optional.empty();
    }
}
