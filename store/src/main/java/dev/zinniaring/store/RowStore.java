package dev.zinniaring.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;

/**
 * Tables of rows with conditional writes and a change feed. Reads are linearizable. Calls do not
 * block; a future that fails does so with a {@link PlatformException}.
 *
 * <p>The store may be restored from an older copy. It then has lost the changes made since, gives
 * out their revisions again, and enters a new era. Revisions of different eras must not be
 * compared.
 *
 * <pre>{@code
 * store.list("nodes").thenCompose(page -> store.feed("nodes", page.revision(), wait));
 * }</pre>
 */
public interface RowStore {
    /** Revision that represents a row that does not exist. */
    long ABSENT = 0;

    /**
     * Sets the action that receives the store's era from the first response that names it, and from
     * the first one of each later era. It runs before that response is delivered.
     */
    void onEra(LongConsumer action);

    /** Returns a consistent snapshot of all rows of a table. */
    CompletableFuture<RowPage> list(String table);

    /**
     * Returns the rows that changed after a revision (long poll): completes as soon as there is a
     * change, or with no rows if nothing changes within {@code wait}. Fails with {@link
     * HistoryLostException} if the store no longer has the changes since that revision.
     */
    CompletableFuture<RowPage> feed(String table, long afterRevision, Duration wait);

    /**
     * Writes a row if it has the expected revision, and returns its new revision. Fails with {@link
     * RowConflictException} if it has another revision.
     */
    CompletableFuture<Long> put(String table, String key, byte[] value, long expectedRevision);

    /** Deletes a row if it has the expected revision; fails like {@link #put}. */
    CompletableFuture<Void> delete(String table, String key, long expectedRevision);
}
