package dev.zinniaring.sidecar;

import dev.zinniaring.calls.ServerList;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The newest record of each node's backend server, from whichever source it came. Written on the
 * event loop; calls read snapshots.
 */
final class ServerDirectory {
    private final Map<String, EndpointRecord> byNode = new HashMap<>();

    /** Nodes whose record has been seen in the store's table. */
    private final Set<String> stored = new HashSet<>();

    private final AtomicReference<ServerList> snapshot = new AtomicReference<>(ServerList.EMPTY);
    private long revision = -1;

    /** Takes records that nodes told of themselves. */
    void merge(Collection<EndpointRecord> records) {
        boolean changed = false;
        for (EndpointRecord record : records) {
            changed |= mergeOne(record);
        }
        if (changed) {
            publish();
        }
    }

    /** Takes records that stand in the table as of a revision. */
    void mergeStored(Collection<EndpointRecord> records, long tableRevision) {
        records.forEach(record -> stored.add(record.nodeId()));
        merge(records);
        revision = Math.max(revision, tableRevision);
    }

    /** Takes the whole table as of a revision, and drops nodes that no longer stand there. */
    void replaceStored(Collection<EndpointRecord> records, long tableRevision) {
        if (tableRevision < revision) {
            return;
        }
        Set<String> present = new HashSet<>();
        records.forEach(record -> present.add(record.nodeId()));
        Set<String> gone = new HashSet<>(stored);
        gone.removeAll(present);
        gone.forEach(this::remove);
        mergeStored(records, tableRevision);
    }

    private boolean mergeOne(EndpointRecord record) {
        EndpointRecord known = byNode.get(record.nodeId());
        if (known != null && !record.newerThan(known)) {
            return false;
        }
        byNode.put(record.nodeId(), record);
        return true;
    }

    /** Removes the record of a node that has left. */
    void remove(String nodeId) {
        stored.remove(nodeId);
        if (byNode.remove(nodeId) != null) {
            publish();
        }
    }

    private void publish() {
        Map<String, EndpointRecord> byAddress = new HashMap<>();
        for (EndpointRecord record : byNode.values()) {
            // Addresses of VMs that are gone are used again; the node that started last has it.
            byAddress.merge(
                    record.callAddress(),
                    record,
                    (one, other) -> one.incarnation() >= other.incarnation() ? one : other);
        }
        snapshot.set(new ServerList(byAddress.values()));
    }

    ServerList servers() {
        ServerList now = snapshot.get();
        return now == null ? ServerList.EMPTY : now;
    }

    /** Returns the newest revision of the table that is contained, -1 if none. */
    long revision() {
        return revision;
    }

    /** Returns every record. */
    List<EndpointRecord> records() {
        return new ArrayList<>(byNode.values());
    }

    /** Returns the records of nodes that may run. */
    List<EndpointRecord> present() {
        return byNode.values().stream().filter(r -> r.state() != EndpointState.GONE).toList();
    }
}
