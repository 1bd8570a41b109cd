package dev.zinniaring.sidecar;

import dev.zinniaring.model.EndpointRecord;
import java.util.List;

/**
 * State of the process, for operators.
 *
 * @param nodeId name of the node
 * @param ready whether it takes calls of clients
 * @param version configuration in force, 0 if none
 * @param nodesRevision revision of the servers' table that it has read, -1 if none
 * @param ageMillis time since the store confirmed what the node knows
 * @param server the last announcement of its backend server
 * @param running calls that run at its backend server
 * @param waiting calls that wait for its backend server
 * @param connections open connections of clients
 * @param servers every backend server that it knows
 */
public record SidecarState(
        String nodeId,
        boolean ready,
        long version,
        long nodesRevision,
        long ageMillis,
        String server,
        int running,
        int waiting,
        int connections,
        List<EndpointRecord> servers) {}
