package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.BackOff;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.store.Failures;
import dev.zinniaring.store.RowConflictException;
import dev.zinniaring.store.RowStore;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps this node's row in the store equal to its record. Each write names the revision that it
 * replaces, so that one whose answer was lost cannot take effect after a later one.
 */
final class RecordWriter {
    private static final Logger log = LoggerFactory.getLogger("store");
    private static final Duration FIRST_RETRY = Duration.ofMillis(150);
    private static final Duration LONGEST_RETRY = Duration.ofMillis(2_000);

    private final RowStore store;
    private final String table;
    private final String key;
    private final Scheduler scheduler;
    private final BackOff backOff;
    private @Nullable EndpointRecord wanted;
    private @Nullable EndpointRecord written;
    private long revision;
    private boolean writing;

    RecordWriter(
            RowStore store, String table, String key, Scheduler scheduler, RandomGenerator random) {
        this.store = store;
        this.table = table;
        this.key = key;
        this.scheduler = scheduler;
        this.backOff = new BackOff(FIRST_RETRY, LONGEST_RETRY, random);
    }

    /** Sets the record to be written. */
    void write(EndpointRecord record) {
        wanted = record;
        next();
    }

    /** Takes the revision of the row as the table's feed tells it. */
    void seen(long rowRevision) {
        revision = Math.max(revision, rowRevision);
    }

    boolean done() {
        return !writing && wanted == written;
    }

    private void next() {
        EndpointRecord record = wanted;
        if (writing || record == null || record == written) {
            return;
        }
        writing = true;
        send(record)
                .whenComplete(
                        (newRevision, failure) ->
                                scheduler.execute(() -> ended(record, newRevision, failure)));
    }

    private CompletableFuture<Long> send(EndpointRecord record) {
        if (record.state() == EndpointState.GONE) {
            return store.delete(table, key, revision).thenApply(unused -> RowStore.ABSENT);
        }
        return store.put(table, key, RecordCodec.encode(record), revision);
    }

    private void ended(
            EndpointRecord record, @Nullable Long newRevision, @Nullable Throwable failure) {
        if (newRevision != null) {
            revision = newRevision;
            written = record;
            writing = false;
            backOff.reset();
            next();
            return;
        }
        Throwable cause = Failures.cause(failure);
        if (cause instanceof RowConflictException conflict) {
            revision = conflict.revision();
        }
        if (backOff.attempts() == 0) {
            log.info("row not written key={} cause=\"{}\"", key, String.valueOf(cause));
        }
        scheduler.after(
                backOff.next(),
                () -> {
                    writing = false;
                    next();
                });
    }
}
