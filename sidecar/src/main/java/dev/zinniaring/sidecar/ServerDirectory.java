package dev.zinniaring.sidecar;

import dev.zinniaring.calls.ServerList;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The newest record of each node's backend server, from whichever source it came. Written by the
 * control thread; calls read snapshots.
 */
final class ServerDirectory {
    private final Map<String, EndpointRecord> byNode = new HashMap<>();
    private final AtomicReference<ServerList> snapshot = new AtomicReference<>(ServerList.EMPTY);

    /** Takes records, and returns whether one of them was news. */
    boolean merge(Collection<EndpointRecord> records) {
        boolean changed = false;
        for (EndpointRecord record : records) {
            EndpointRecord known = byNode.get(record.nodeId());
            if (known == null || record.newerThan(known)) {
                byNode.put(record.nodeId(), record);
                changed = true;
            }
        }
        if (changed) {
            publish();
        }
        return changed;
    }

    /** Removes the record of a node that has left. */
    void remove(String nodeId) {
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

    /** Returns every record. */
    List<EndpointRecord> records() {
        return new ArrayList<>(byNode.values());
    }

    /** Returns the records of nodes that may run. */
    List<EndpointRecord> present() {
        return byNode.values().stream().filter(r -> r.state() != EndpointState.GONE).toList();
    }
}
