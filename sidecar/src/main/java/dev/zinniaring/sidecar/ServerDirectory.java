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
        if (mergeAll(records)) {
            publish();
        }
    }

    /**
     * Takes changes of the table as of a revision.
     *
     * @param records records of rows that were written
     * @param gone nodes whose row was deleted
     */
    void mergeStored(
            Collection<EndpointRecord> records, Collection<String> gone, long tableRevision) {
        stored.removeAll(gone);
        boolean changed = byNode.keySet().removeAll(gone);
        records.forEach(record -> stored.add(record.nodeId()));
        changed |= mergeAll(records);
        if (changed) {
            publish();
        }
        revision = Math.max(revision, tableRevision);
    }

    /** Takes the whole table as of a revision, and drops nodes that no longer stand there. */
    void replaceStored(Collection<EndpointRecord> records, long tableRevision) {
        if (tableRevision < revision) {
            return;
        }
        Set<String> gone = new HashSet<>(stored);
        records.forEach(record -> gone.remove(record.nodeId()));
        mergeStored(records, gone, tableRevision);
    }

    private boolean mergeAll(Collection<EndpointRecord> records) {
        boolean changed = false;
        for (EndpointRecord record : records) {
            changed |= mergeOne(record);
        }
        return changed;
    }

    private boolean mergeOne(EndpointRecord record) {
        EndpointRecord known = byNode.get(record.nodeId());
        if (known != null && !record.newerThan(known)) {
            return false;
        }
        byNode.put(record.nodeId(), record);
        return true;
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
