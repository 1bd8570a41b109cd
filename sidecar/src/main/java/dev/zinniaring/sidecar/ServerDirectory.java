package dev.zinniaring.sidecar;

import dev.zinniaring.calls.ServerList;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Holds the newest endpoint record of each node, merged from the store and from peers. Updated on
 * the event loop only; {@link #servers} returns an immutable snapshot to any thread.
 */
final class ServerDirectory {
    /** Nodes that have left and are remembered; a restored copy is some seconds old. */
    private static final int MAX_DEPARTED = 4_096;

    private final Map<String, EndpointRecord> byNode = new HashMap<>();

    /** Nodes that have a row in the store's table, as far as known. */
    private final Set<String> storedNodes = new HashSet<>();

    /** Incarnation of each node that has left, by node, the latest to leave last. */
    private final Map<String, Long> departed = new LinkedHashMap<>();

    private final AtomicReference<ServerList> snapshot = new AtomicReference<>(ServerList.EMPTY);
    private List<EndpointRecord> present = List.of();

    /** Era of the store in which {@link #revision} was given out, 0 until known. */
    private long era;

    private long revision = -1;

    /**
     * Enters an era of the store, whose revisions cannot be compared with those before. All known
     * nodes stay, since the store may have lost their rows and the nodes write them again.
     */
    void enterEra(long newEra) {
        if (era > 0) {
            revision = -1;
            storedNodes.clear();
        }
        era = newEra;
    }

    /** Returns the era of the store in which {@link #revision} was given out, 0 until known. */
    long era() {
        return era;
    }

    /** Merges records that nodes reported about themselves. */
    void merge(Collection<EndpointRecord> records) {
        for (EndpointRecord record : records) {
            if (record.state() != EndpointState.GONE) {
                departed.remove(record.nodeId());
            }
        }
        if (mergeAll(records)) {
            publish();
        }
    }

    /**
     * Applies changes of the table up to a revision.
     *
     * @param records records of the rows that were written
     * @param gone nodes whose row was deleted
     * @param tableRevision revision of the table that includes the changes
     */
    void mergeStored(
            Collection<EndpointRecord> records, Collection<String> gone, long tableRevision) {
        storedNodes.removeAll(gone);
        gone.forEach(this::rememberDeparture);
        boolean changed = byNode.keySet().removeAll(gone);
        records.forEach(record -> storedNodes.add(record.nodeId()));
        changed |= mergeAll(records);
        if (changed) {
            publish();
        }
        revision = Math.max(revision, tableRevision);
    }

    /**
     * Applies the complete table as of a revision and removes nodes that no longer have a row.
     * Ignored if the revision is older than the known one.
     */
    void replaceStored(Collection<EndpointRecord> records, long tableRevision) {
        if (tableRevision < revision) {
            return;
        }
        Set<String> gone = new HashSet<>(storedNodes);
        records.forEach(record -> gone.remove(record.nodeId()));
        mergeStored(records, gone, tableRevision);
    }

    private void rememberDeparture(String nodeId) {
        EndpointRecord known = byNode.get(nodeId);
        if (known == null) {
            return;
        }
        departed.remove(nodeId);
        departed.put(nodeId, known.incarnation());
        if (departed.size() > MAX_DEPARTED) {
            departed.remove(departed.keySet().iterator().next());
        }
    }

    /**
     * Returns whether this incarnation of a node is known to have left. Its record may come back
     * when the store is restored from a copy.
     */
    boolean hasLeft(EndpointRecord record) {
        Long incarnation = departed.get(record.nodeId());
        return incarnation != null && incarnation == record.incarnation();
    }

    private boolean mergeAll(Collection<EndpointRecord> records) {
        boolean changed = false;
        for (EndpointRecord record : records) {
            changed |= !hasLeft(record) && mergeOne(record);
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
            // Addresses of deleted VMs are reused; the node that started last owns the address.
            byAddress.merge(
                    record.callAddress(),
                    record,
                    (one, other) -> one.incarnation() >= other.incarnation() ? one : other);
        }
        snapshot.set(new ServerList(byAddress.values()));
        present = byNode.values().stream().filter(r -> r.state() != EndpointState.GONE).toList();
    }

    ServerList servers() {
        ServerList now = snapshot.get();
        return now == null ? ServerList.EMPTY : now;
    }

    /** Returns the newest table revision of the era that has been applied, -1 if none. */
    long revision() {
        return revision;
    }

    /** Returns the record of a node, or null if it is not known. */
    @Nullable EndpointRecord record(String nodeId) {
        return byNode.get(nodeId);
    }

    /** Returns the records of all known nodes. */
    List<EndpointRecord> records() {
        return new ArrayList<>(byNode.values());
    }

    /** Returns the records of all nodes except those that have left. */
    List<EndpointRecord> present() {
        return present;
    }
}
