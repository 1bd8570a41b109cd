package dev.zinniaring.distribution;

import dev.zinniaring.model.EndpointRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Immutable endpoint records by service. An update copies only the lists of the changed services.
 */
final class EndpointSnapshot implements EndpointView {
    static final EndpointSnapshot EMPTY = new EndpointSnapshot(Map.of());

    private final Map<String, List<EndpointRecord>> services;

    private EndpointSnapshot(Map<String, List<EndpointRecord>> services) {
        this.services = services;
    }

    @Override
    public List<EndpointRecord> of(String service) {
        return services.getOrDefault(service, List.of());
    }

    @Override
    public Collection<EndpointRecord> all() {
        List<EndpointRecord> all = new ArrayList<>();
        services.values().forEach(all::addAll);
        return Collections.unmodifiableList(all);
    }

    /**
     * Returns a snapshot in which {@code records} replace all records of the services in {@code
     * changed}.
     */
    EndpointSnapshot with(Set<String> changed, Collection<EndpointRecord> records) {
        Map<String, List<EndpointRecord>> next = new HashMap<>(services);
        changed.forEach(next::remove);
        for (EndpointRecord record : records) {
            next.computeIfAbsent(record.service(), name -> new ArrayList<>()).add(record);
        }
        for (String service : changed) {
            next.computeIfPresent(service, (name, list) -> sorted(list));
        }
        return new EndpointSnapshot(next);
    }

    private static List<EndpointRecord> sorted(List<EndpointRecord> records) {
        records.sort(Comparator.comparing(EndpointRecord::serverId));
        return List.copyOf(records);
    }
}
