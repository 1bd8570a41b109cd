package dev.zinniaring.store;

import java.util.List;
import java.util.Optional;

/**
 * The platform's transactional table service. Reads are linearizable. Safe for use by several
 * threads.
 */
public interface TableService {
    /** Returns the row, or empty if it does not exist. */
    Optional<Row> get(String key) throws PlatformException;

    /**
     * Returns the row if its revision is above {@code knownRevision}; otherwise empty. Costs few
     * bytes when nothing has changed.
     */
    Optional<Row> getIfNewer(String key, long knownRevision) throws PlatformException;

    /** Returns up to {@code limit} rows whose keys start with {@code prefix}, sorted by key. */
    List<Row> scan(String prefix, int limit) throws PlatformException;

    /**
     * Applies all writes of a transaction, or none.
     *
     * @return whether its conditions held and it was applied
     * @throws PlatformOutcomeUnknownException if the answer was lost; it may have been applied
     */
    boolean commit(Transaction transaction) throws PlatformException;
}
