package dev.zinniaring.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * In-memory table rows, with the outcomes of recent transactions so that retries are idempotent.
 */
final class MemoryRows {
    /** Covers retries within more than five minutes at 300 writes per second. */
    private static final int REMEMBERED_TRANSACTIONS = 100_000;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Map<String, Boolean> outcomes =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > REMEMBERED_TRANSACTIONS;
                }
            };

    synchronized Optional<Row> get(String key) {
        return Optional.ofNullable(rows.get(key)).map(MemoryRows::copy);
    }

    synchronized List<Row> scan(String prefix, int limit) {
        List<Row> found = new ArrayList<>();
        for (Row row : rows.tailMap(prefix).values()) {
            if (found.size() == limit || !row.key().startsWith(prefix)) {
                break;
            }
            found.add(copy(row));
        }
        return found;
    }

    /** Applies a transaction; a repeated token returns the outcome of its first commit. */
    synchronized boolean commit(Transaction transaction) {
        Boolean known = outcomes.get(transaction.token());
        if (known != null) {
            return known;
        }
        boolean holds = transaction.conditions().stream().allMatch(this::holds);
        if (holds) {
            transaction.puts().forEach(this::put);
        }
        outcomes.put(transaction.token(), holds);
        return holds;
    }

    private boolean holds(Transaction.Condition condition) {
        return revision(condition.key()) == condition.revision();
    }

    private void put(Transaction.Put put) {
        long revision = revision(put.key()) + 1;
        rows.put(put.key(), new Row(put.key(), revision, put.value().clone()));
    }

    private long revision(String key) {
        Row row = rows.get(key);
        return row == null ? Transaction.ABSENT : row.revision();
    }

    private static Row copy(Row row) {
        return new Row(row.key(), row.revision(), row.value().clone());
    }
}
