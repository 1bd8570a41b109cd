package dev.zinniaring.distribution;

import dev.zinniaring.membership.MemberView;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.transport.Peer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Collects records that are new to this node until the next batch is sent. Each record goes to the
 * neighbours other than its sender. In addition, the first gateway of a zone sends the records of
 * its own zone to the first gateway of each other zone, so that a change crosses each pair of zones
 * only once.
 */
final class EndpointOutbox {
    private static final String NO_SOURCE = "";
    private static final int RECORDS_PER_BATCH = 1_000;

    private final Context context;
    private final Map<String, Pending> pending = new LinkedHashMap<>();
    private long batchesSent;

    /** A record and the id of the node that sent it. */
    private record Pending(EndpointRecord record, String sourceId) {}

    EndpointOutbox(Context context) {
        this.context = context;
    }

    void add(EndpointRecord record) {
        pending.put(record.serverId(), new Pending(record, NO_SOURCE));
    }

    void addAll(Collection<EndpointRecord> records, Peer source) {
        for (EndpointRecord record : records) {
            pending.put(record.serverId(), new Pending(record, source.nodeId()));
        }
    }

    void flush() {
        if (pending.isEmpty()) {
            return;
        }
        MemberView view = context.view();
        Map<List<EndpointRecord>, EndpointBatch> batches = new HashMap<>();
        for (Peer peer : view.neighbours()) {
            send(peer, notFrom(peer), batches);
        }
        if (PushPlan.isFirstGateway(view)) {
            List<EndpointRecord> own = ofZone(view.self().zone());
            PushPlan.otherZones(view, new TreeSet<>()).forEach(peer -> send(peer, own, batches));
        }
        pending.clear();
    }

    int size() {
        return pending.size();
    }

    long batchesSent() {
        return batchesSent;
    }

    private void send(
            Peer peer,
            List<EndpointRecord> records,
            Map<List<EndpointRecord>, EndpointBatch> batches) {
        for (int i = 0; i < records.size(); i += RECORDS_PER_BATCH) {
            List<EndpointRecord> part =
                    records.subList(i, Math.min(records.size(), i + RECORDS_PER_BATCH));
            EndpointBatch batch =
                    batches.computeIfAbsent(
                            part, list -> new EndpointBatch(0, EndpointBlock.encode(list)));
            context.network().send(peer, batch);
            batchesSent++;
        }
    }

    private List<EndpointRecord> notFrom(Peer peer) {
        return pending.values().stream()
                .filter(item -> !item.sourceId.equals(peer.nodeId()))
                .map(Pending::record)
                .toList();
    }

    private List<EndpointRecord> ofZone(String zone) {
        List<EndpointRecord> records = new ArrayList<>();
        for (Pending item : pending.values()) {
            if (item.record.zone().equals(zone)) {
                records.add(item.record);
            }
        }
        return records;
    }
}
