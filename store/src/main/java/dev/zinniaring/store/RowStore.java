package dev.zinniaring.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Tables of rows with conditional writes and a feed of changes. Reads are linearizable. Calls do
 * not block; a future that fails does so with a {@link PlatformException}.
 *
 * <pre>{@code
 * store.list("nodes").thenCompose(page -> store.feed("nodes", page.revision(), wait));
 * }</pre>
 */
public interface RowStore {
    /** Revision that stands for a row that does not exist. */
    long ABSENT = 0;

    /** Returns every row of a table as of one moment. */
    CompletableFuture<RowPage> list(String table);

    /**
     * Returns the rows that changed after a revision, as soon as there is one, and none if nothing
     * changes within the wait. Fails with {@link HistoryLostException} if the changes are not known
     * any more.
     */
    CompletableFuture<RowPage> feed(String table, long afterRevision, Duration wait);

    /**
     * Writes a row if it has the expected revision, and returns its new one. Fails with {@link
     * RowConflictException} if it has another.
     */
    CompletableFuture<Long> put(String table, String key, byte[] value, long expectedRevision);

    /** Deletes a row if it has the expected revision; fails like {@link #put}. */
    CompletableFuture<Void> delete(String table, String key, long expectedRevision);
}
