package dev.zinniaring.publish;

import dev.zinniaring.store.PlatformException;
import dev.zinniaring.store.Row;
import dev.zinniaring.store.TableService;
import dev.zinniaring.store.Transaction;
import java.util.List;
import java.util.Optional;

/**
 * Table service that commits each transaction twice under different tokens and returns the outcome
 * of the second commit, as if the platform had forgotten the token of the first.
 */
record DuplicateCommitTables(TableService inner) implements TableService {
    @Override
    public Optional<Row> get(String key) throws PlatformException {
        return inner.get(key);
    }

    @Override
    public Optional<Row> getIfChanged(String key, long knownRevision) throws PlatformException {
        return inner.getIfChanged(key, knownRevision);
    }

    @Override
    public List<Row> scan(String prefix, int limit) throws PlatformException {
        return inner.scan(prefix, limit);
    }

    @Override
    public boolean commit(Transaction transaction) throws PlatformException {
        inner.commit(transaction);
        Transaction repeat =
                new Transaction(
                        transaction.token() + "-forgotten",
                        transaction.conditions(),
                        transaction.puts());
        return inner.commit(repeat);
    }
}
