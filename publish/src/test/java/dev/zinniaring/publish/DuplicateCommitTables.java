package dev.zinniaring.publish;

import dev.zinniaring.store.PlatformException;
import dev.zinniaring.store.Row;
import dev.zinniaring.store.TableService;
import dev.zinniaring.store.Transaction;
import java.util.List;
import java.util.Optional;

/** Sends each transaction twice, as a different one, and returns the outcome of the repeat. */
record ForgetfulTables(TableService inner) implements TableService {
    @Override
    public Optional<Row> get(String key) throws PlatformException {
        return inner.get(key);
    }

    @Override
    public Optional<Row> getIfNewer(String key, long knownRevision) throws PlatformException {
        return inner.getIfNewer(key, knownRevision);
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
