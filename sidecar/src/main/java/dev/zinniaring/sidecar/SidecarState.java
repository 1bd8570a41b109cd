package dev.zinniaring.sidecar;

import dev.zinniaring.model.EndpointRecord;
import java.util.List;

/**
 * State of the sidecar, as shown to operators.
 *
 * @param nodeId name of the node
 * @param ready whether it accepts calls of clients
 * @param version number of the active configuration, 0 if none
 * @param storeEra era of the store, which rises when it is restored from a copy; 0 until known
 * @param nodesRevision newest known revision of the nodes table, -1 if none
 * @param ageMillis time since the store confirmed the node's state
 * @param server latest announcement of its backend server, as text
 * @param running calls executing at its backend server
 * @param waiting calls queued for its backend server
 * @param connections open connections of clients
 * @param latestRuns latest runs of calls at its backend server, oldest first: which connection
 *     carried which call, and what came back
 * @param control who leads, how recent keys are, and what is held back
 * @param servers all known backend servers
 */
public record SidecarState(
        String nodeId,
        boolean ready,
        long version,
        long storeEra,
        long nodesRevision,
        long ageMillis,
        String server,
        int running,
        int waiting,
        int connections,
        List<String> latestRuns,
        String control,
        List<EndpointRecord> servers) {}
