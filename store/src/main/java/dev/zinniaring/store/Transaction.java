package dev.zinniaring.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Conditions and writes that the table service evaluates and applies atomically.
 *
 * <pre>{@code
 * Transaction.withToken("b7c1")
 *         .requireRevision("head", 4)
 *         .requireAbsent("version/5")
 *         .put("head", head)
 *         .put("version/5", head)
 *         .build();
 * }</pre>
 *
 * @param token unique id of the transaction, so that a retried request is applied only once
 * @param conditions conditions that must all hold
 * @param puts rows to write
 */
public record Transaction(String token, List<Condition> conditions, List<Put> puts) {
    /** Revision that represents a row that does not exist. */
    public static final long ABSENT = 0;

    /** Makes defensive copies of the lists. */
    public Transaction {
        conditions = List.copyOf(conditions);
        puts = List.copyOf(puts);
    }

    /** Requires that a row has the given revision, or does not exist if it is {@link #ABSENT}. */
    public record Condition(String key, long revision) {}

    /** Writes a row. */
    @SuppressWarnings("ArrayRecordComponent") // never compared
    public record Put(String key, byte[] value) {}

    /** Returns a builder of a transaction; {@code token} must be unique to it. */
    public static Builder withToken(String token) {
        return new Builder(token);
    }

    /** Builds a transaction. */
    public static final class Builder {
        private final String token;
        private final List<Condition> conditions = new ArrayList<>();
        private final List<Put> puts = new ArrayList<>();

        private Builder(String token) {
            this.token = token;
        }

        /** Requires that the row has the given revision. */
        public Builder requireRevision(String key, long revision) {
            conditions.add(new Condition(key, revision));
            return this;
        }

        /** Requires that the row does not exist. */
        public Builder requireAbsent(String key) {
            return requireRevision(key, ABSENT);
        }

        /** Writes a row. */
        public Builder put(String key, byte[] value) {
            puts.add(new Put(key, value));
            return this;
        }

        /** Returns the transaction. */
        public Transaction build() {
            return new Transaction(token, conditions, puts);
        }
    }
}
