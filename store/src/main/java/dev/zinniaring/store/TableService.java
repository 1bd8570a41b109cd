package dev.zinniaring.store;

import java.util.List;
import java.util.Optional;

/**
 * The platform's transactional table service. Reads are linearizable. Implementations are
 * thread-safe.
 */
public interface TableService {
    /** Returns the row, or empty if it does not exist. */
    Optional<Row> get(String key) throws PlatformException;

    /**
     * Returns the row if its revision differs from {@code knownRevision}, otherwise empty. The
     * revision is lower after the service was restored from a copy. Transfers only a few bytes when
     * the row has not changed.
     */
    Optional<Row> getIfChanged(String key, long knownRevision) throws PlatformException;

    /** Returns the first {@code limit} rows whose keys start with {@code prefix}, sorted by key. */
    List<Row> scan(String prefix, int limit) throws PlatformException;

    /**
     * Applies all writes of a transaction atomically if all its conditions hold, otherwise none.
     *
     * @return whether the conditions held and the transaction was applied
     * @throws PlatformOutcomeUnknownException if the response was lost; the transaction may have
     *     been applied
     */
    boolean commit(Transaction transaction) throws PlatformException;
}
