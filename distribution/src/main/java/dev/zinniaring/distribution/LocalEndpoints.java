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
 * Creates the endpoint records of the local backend servers. The node is the only writer of these
 * records, so it also supersedes outdated records of its earlier incarnations that other nodes
 * still hold. Thread-safe.
 */
final class LocalEndpoints {
    private final String nodeId;
    private final String zone;
    private final String callAddress;
    private final Map<String, EndpointRecord> written = new HashMap<>();
    private long incarnation;
    private long sequence;

    LocalEndpoints(String nodeId, String zone, String callAddress, long incarnation) {
        this.nodeId = nodeId;
        this.zone = zone;
        this.callAddress = callAddress;
        this.incarnation = incarnation;
    }

    /**
     * Returns the record to propagate, or empty if the state has not changed since the last one.
     */
    synchronized Optional<EndpointRecord> announce(Endpoints.LocalEndpoint server) {
        EndpointRecord last = written.get(server.serverId());
        if (last != null && same(last, server)) {
            return Optional.empty();
        }
        return Optional.of(write(server));
    }

    /** Returns the record to propagate, or empty if the server is unknown or already gone. */
    synchronized Optional<EndpointRecord> withdraw(String serverId) {
        EndpointRecord last = written.get(serverId);
        if (last == null || last.state() == EndpointState.GONE) {
            return Optional.empty();
        }
        return Optional.of(write(gone(last)));
    }

    /**
     * Returns new records that supersede outdated ones written in the name of this node: those of
     * an earlier incarnation, and withdrawn ones reintroduced by a peer that was partitioned.
     */
    synchronized List<EndpointRecord> supersede(Collection<EndpointRecord> records) {
        List<EndpointRecord> superseding = new ArrayList<>();
        for (EndpointRecord record : records) {
            EndpointRecord last = written.get(record.serverId());
            if (isSuperseded(record, last)) {
                incarnation = Math.max(incarnation, record.incarnation());
                sequence = Math.max(sequence, record.sequence());
                superseding.add(write(last == null ? gone(record) : local(last)));
            }
        }
        return superseding;
    }

    /** Returns whether this node is the writer of the record. */
    boolean owns(EndpointRecord record) {
        return record.nodeId().equals(nodeId);
    }

    private boolean isSuperseded(EndpointRecord record, @Nullable EndpointRecord last) {
        boolean live = record.state() != EndpointState.GONE;
        if (last == null || last.state() == EndpointState.GONE) {
            return owns(record) && live;
        }
        // A server that has moved to this node is not gone, even if its former node reports so
        // later.
        return record.newerThan(last) && (owns(record) || !live);
    }

    private EndpointRecord write(Endpoints.LocalEndpoint server) {
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

    private static boolean same(EndpointRecord last, Endpoints.LocalEndpoint server) {
        return local(last).equals(server);
    }

    private static Endpoints.LocalEndpoint local(EndpointRecord record) {
        return new Endpoints.LocalEndpoint(
                record.serverId(),
                record.service(),
                record.slots(),
                record.connections(),
                record.state(),
                record.warmUpMillis());
    }

    private static Endpoints.LocalEndpoint gone(EndpointRecord record) {
        return new Endpoints.LocalEndpoint(
                record.serverId(),
                record.service(),
                record.slots(),
                record.connections(),
                EndpointState.GONE,
                record.warmUpMillis());
    }
}
