package dev.zinniaring.distribution;

import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Writes the records of the backend servers beside one node. The node is the only writer of these
 * records, so it also settles what others still hold of its earlier lives. Safe for use by several
 * threads.
 */
final class LocalServers {
    private final String nodeId;
    private final String zone;
    private final String callAddress;
    private final Map<String, EndpointRecord> written = new HashMap<>();
    private long incarnation;
    private long sequence;

    LocalServers(String nodeId, String zone, String callAddress, long incarnation) {
        this.nodeId = nodeId;
        this.zone = zone;
        this.callAddress = callAddress;
        this.incarnation = incarnation;
    }

    /** Returns the record to spread, empty if it would say what the last one said. */
    synchronized Optional<EndpointRecord> announce(Endpoints.LocalServer server) {
        EndpointRecord last = written.get(server.serverId());
        if (last != null && same(last, server)) {
            return Optional.empty();
        }
        return Optional.of(write(server));
    }

    /** Returns the record to spread, empty if the server is not known or gone. */
    synchronized Optional<EndpointRecord> withdraw(String serverId) {
        EndpointRecord last = written.get(serverId);
        if (last == null || last.state() == EndpointState.GONE) {
            return Optional.empty();
        }
        return Optional.of(write(gone(last)));
    }

    /**
     * Returns the records that overrule those that others hold in this node's name: written by an
     * earlier life of it, or withdrawn and brought back by a peer that was away.
     */
    synchronized List<EndpointRecord> overrule(Collection<EndpointRecord> records) {
        List<EndpointRecord> overruling = new ArrayList<>();
        for (EndpointRecord record : records) {
            EndpointRecord last = written.get(record.serverId());
            if (overruled(record, last)) {
                incarnation = Math.max(incarnation, record.incarnation());
                sequence = Math.max(sequence, record.sequence());
                overruling.add(write(last == null ? gone(record) : local(last)));
            }
        }
        return overruling;
    }

    /** Returns whether a record speaks in this node's name. */
    boolean owns(EndpointRecord record) {
        return record.nodeId().equals(nodeId);
    }

    private boolean overruled(EndpointRecord record, @Nullable EndpointRecord last) {
        boolean live = record.state() != EndpointState.GONE;
        if (last == null || last.state() == EndpointState.GONE) {
            return owns(record) && live;
        }
        // A server that moved here is not gone, even if its former node says so later.
        return record.newerThan(last) && (owns(record) || !live);
    }

    private EndpointRecord write(Endpoints.LocalServer server) {
        sequence++;
        EndpointRecord record =
                new EndpointRecord(
                        server.serverId(),
                        server.service(),
                        nodeId,
                        zone,
                        callAddress,
                        incarnation,
                        sequence,
                        server.slots(),
                        server.connections(),
                        server.state(),
                        server.warmUpMillis());
        written.put(server.serverId(), record);
        return record;
    }

    private static boolean same(EndpointRecord last, Endpoints.LocalServer server) {
        return local(last).equals(server);
    }

    private static Endpoints.LocalServer local(EndpointRecord record) {
        return new Endpoints.LocalServer(
                record.serverId(),
                record.service(),
                record.slots(),
                record.connections(),
                record.state(),
                record.warmUpMillis());
    }

    private static Endpoints.LocalServer gone(EndpointRecord record) {
        return new Endpoints.LocalServer(
                record.serverId(),
                record.service(),
                record.slots(),
                record.connections(),
                EndpointState.GONE,
                record.warmUpMillis());
    }
}
