package dev.zinniaring.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Rows in memory, with the outcomes of recent transactions. */
final class MemoryRows {
    /** At 300 writes a second this covers more than five minutes of repeats. */
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

    /** Applies a transaction; a repeat gets the outcome of the first. */
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
