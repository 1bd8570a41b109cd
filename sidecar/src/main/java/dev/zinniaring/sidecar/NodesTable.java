package dev.zinniaring.sidecar;

import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.store.FutureFailures;
import dev.zinniaring.store.RowPage;
import dev.zinniaring.store.RowStore;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The store table with one row per node: applies its rows to the server list and to what this node
 * knows about itself.
 */
final class NodesTable {
    static final String NAME = "zinniaring-nodes";

    private static final Logger log = LoggerFactory.getLogger("store");

    private final RowStore store;
    private final String nodeId;
    private final ServerDirectory directory;
    private final RecordWriter writer;
    private final LocalRecordPublisher localRecord;
    private final BooleanSupplier reader;

    /**
     * Creates the table.
     *
     * @param writer writer of this node's own row
     * @param reader whether this node reads the table for its zone
     */
    NodesTable(
            RowStore store,
            String nodeId,
            ServerDirectory directory,
            RecordWriter writer,
            LocalRecordPublisher localRecord,
            BooleanSupplier reader) {
        this.store = store;
        this.nodeId = nodeId;
        this.directory = directory;
        this.writer = writer;
        this.localRecord = localRecord;
        this.reader = reader;
    }

    /**
     * Applies a page of the table.
     *
     * @param complete whether it lists the whole table
     * @return whether the page tells that this node's backend server had left before a restart
     */
    boolean apply(RowPage page, boolean complete) {
        List<EndpointRecord> records = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        boolean deletesDeparted = complete && reader.getAsBoolean();
        for (RowPage.TableRow row : page.rows()) {
            if (row.key().equals(nodeId)) {
                writer.observeRevision(row.revision());
            }
            if (row.deleted()) {
                gone.add(row.key());
            } else {
                EndpointRecord record = decode(row);
                if (record != null) {
                    records.add(record);
                }
                if (deletesDeparted && record != null && directory.hasLeft(record)) {
                    delete(row);
                }
            }
        }
        if (complete) {
            directory.replaceStored(records, page.revision());
        } else {
            directory.mergeStored(records, gone, page.revision());
        }
        return localRecord.restore(records);
    }

    /**
     * Returns the record in a row. A malformed row says nothing about its node, so that the known
     * record of the node holds, and the node writes its own row again.
     */
    private @Nullable EndpointRecord decode(RowPage.TableRow row) {
        try {
            return RecordCodec.decodeRow(row.value(), row.key());
        } catch (SidecarException e) {
            log.warn(
                    "rejected malformed row key={} revision={} cause=\"{}\"",
                    row.key(),
                    row.revision(),
                    cause(e));
            if (row.key().equals(nodeId)) {
                writer.writeAgain();
            }
            return directory.record(row.key());
        }
    }

    private static String cause(SidecarException e) {
        Throwable cause = e.getCause();
        return cause == null ? String.valueOf(e.getMessage()) : e.getMessage() + ": " + cause;
    }

    /** Deletes the row of a node that has left, which a restored store has brought back. */
    private void delete(RowPage.TableRow row) {
        log.info("deleting row of a node that has left key={}", row.key());
        store.delete(NAME, row.key(), row.revision())
                .whenComplete(
                        (unused, failure) -> {
                            if (failure != null) {
                                log.info(
                                        "failed to delete row key={} cause=\"{}\"",
                                        row.key(),
                                        String.valueOf(FutureFailures.unwrap(failure)));
                            }
                        });
    }
}
