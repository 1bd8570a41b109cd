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

/** The backend servers that calls may be sent to, by service. Immutable. */
public final class ServerList {
    /** No backend server at all. */
    public static final ServerList EMPTY = new ServerList(List.of());

    private final Map<String, List<EndpointRecord>> byService = new HashMap<>();
    private final Set<String> serverIds = new HashSet<>();
    private final int nodes;

    /** Creates a list from records, of which those that take new work are used. */
    public ServerList(Collection<EndpointRecord> records) {
        for (EndpointRecord record : records) {
            serverIds.add(record.serverId());
            if (takesWork(record.state())) {
                byService.computeIfAbsent(record.service(), name -> new ArrayList<>()).add(record);
            }
        }
        nodes = (int) records.stream().map(EndpointRecord::nodeId).distinct().count();
    }

    private static boolean takesWork(EndpointState state) {
        return state == EndpointState.READY || state == EndpointState.WARMING;
    }

    /** Returns the backend servers of a service. */
    public List<EndpointRecord> of(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns whether a backend server is known, whatever its state. */
    public boolean knows(String serverId) {
        return serverIds.contains(serverId);
    }

    /** Returns the number of nodes that are known. */
    public int nodes() {
        return nodes;
    }
}
