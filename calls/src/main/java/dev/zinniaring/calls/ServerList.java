package dev.zinniaring.calls;

import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Immutable list of the backend servers to which calls may be sent, by service. */
public final class ServerList {
    /** List without any backend server. */
    public static final ServerList EMPTY = new ServerList(List.of());

    private final Map<String, List<EndpointRecord>> byService = new HashMap<>();
    private final Set<String> serverIds = new HashSet<>();
    private final int nodes;

    /** Creates a list of the backend servers that are ready or warming up. */
    public ServerList(Collection<EndpointRecord> records) {
        for (EndpointRecord record : records) {
            serverIds.add(record.serverId());
            if (acceptsCalls(record.state())) {
                byService.computeIfAbsent(record.service(), name -> new ArrayList<>()).add(record);
            }
        }
        nodes = (int) records.stream().map(EndpointRecord::nodeId).distinct().count();
    }

    private static boolean acceptsCalls(EndpointState state) {
        return state == EndpointState.READY || state == EndpointState.WARMING;
    }

    /** Returns the backend servers of a service that accept new calls. */
    public List<EndpointRecord> of(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns whether a backend server is known, regardless of its state. */
    public boolean contains(String serverId) {
        return serverIds.contains(serverId);
    }

    /** Returns the number of distinct nodes that own a known backend server. */
    public int nodes() {
        return nodes;
    }
}
