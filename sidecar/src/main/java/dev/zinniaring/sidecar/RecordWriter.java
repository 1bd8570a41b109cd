package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.EqualJitterBackOff;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.store.FutureFailures;
import dev.zinniaring.store.RowConflictException;
import dev.zinniaring.store.RowStore;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps this node's row in the store up to date with its endpoint record. Each write is conditional
 * on the revision that it replaces, so that a write whose response was lost cannot take effect
 * after a later one.
 */
final class RecordWriter {
    private static final Logger log = LoggerFactory.getLogger("store");
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(150);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(2_000);

    private final RowStore store;
    private final String table;
    private final String key;
    private final Scheduler scheduler;
    private final EqualJitterBackOff backOff;
    private @Nullable EndpointRecord desired;
    private @Nullable EndpointRecord written;
    private long revision;
    private boolean writePending;
    private boolean writeNeeded;

    RecordWriter(
            RowStore store, String table, String key, Scheduler scheduler, RandomGenerator random) {
        this.store = store;
        this.table = table;
        this.key = key;
        this.scheduler = scheduler;
        this.backOff = new EqualJitterBackOff(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, random);
    }

    /** Sets the record to store; only the latest one is written. */
    void write(EndpointRecord record) {
        desired = record;
        writeLatest();
    }

    /** Records a revision of the row that was observed in the table's feed. */
    void observeRevision(long rowRevision) {
        revision = Math.max(revision, rowRevision);
    }

    /**
     * Writes the record again, since the store was restored and may have lost it. The revision that
     * is known may be out of date; a conflict then tells the present one.
     */
    void writeAgain() {
        writeNeeded = true;
        writeLatest();
    }

    boolean isUpToDate() {
        return !writePending && !writeNeeded && desired == written;
    }

    private void writeLatest() {
        EndpointRecord record = desired;
        if (writePending || record == null || (record == written && !writeNeeded)) {
            return;
        }
        writePending = true;
        writeNeeded = false;
        send(record)
                .whenComplete(
                        (newRevision, failure) ->
                                scheduler.execute(
                                        () -> onWriteCompleted(record, newRevision, failure)));
    }

    private CompletableFuture<Long> send(EndpointRecord record) {
        if (record.state() == EndpointState.GONE) {
            return store.delete(table, key, revision).thenApply(unused -> RowStore.ABSENT);
        }
        return store.put(table, key, RecordCodec.encode(record), revision);
    }

    private void onWriteCompleted(
            EndpointRecord record, @Nullable Long newRevision, @Nullable Throwable failure) {
        if (newRevision != null) {
            revision = newRevision;
            written = record;
            writePending = false;
            backOff.reset();
            writeLatest();
            return;
        }
        writeNeeded = true;
        Throwable cause = FutureFailures.unwrap(failure);
        if (cause instanceof RowConflictException conflict) {
            revision = conflict.revision();
        }
        if (backOff.attempts() == 0) {
            log.info(
                    "failed to write row, retrying key={} cause=\"{}\"",
                    key,
                    String.valueOf(cause));
        }
        scheduler.after(
                backOff.next(),
                () -> {
                    writePending = false;
                    writeLatest();
                });
    }
}
