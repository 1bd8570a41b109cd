package dev.zinniaring.accounts;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The client accounts of one version of the configuration, by key and by name. Immutable. */
public final class AccountTable {
    /** A table without accounts; calls then need no key. */
    public static final AccountTable EMPTY = builder().build();

    private final Map<String, Account> byKey;
    private final Map<String, Account> byName;

    private AccountTable(Builder builder) {
        byKey = Map.copyOf(builder.byKey);
        byName = Map.copyOf(builder.byName);
    }

    /** Returns a builder of a table without accounts. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns whether no accounts are declared. */
    public boolean isEmpty() {
        return byName.isEmpty();
    }

    /** Returns the number of accounts. */
    public int size() {
        return byName.size();
    }

    /** Returns the account that holds a key, or null if none does. */
    public @Nullable Account holder(String key) {
        return byKey.get(key);
    }

    /** Returns the account of a name, or null if none is declared. */
    public @Nullable Account named(String name) {
        return byName.get(name);
    }

    /** Returns all accounts. */
    public Collection<Account> all() {
        return byName.values();
    }

    /** Builds an {@link AccountTable}. */
    public static final class Builder {
        private final Map<String, Account> byKey = new HashMap<>();
        private final Map<String, Account> byName = new HashMap<>();

        private Builder() {}

        /**
         * Adds an account.
         *
         * @param keys its keys, maybe none
         * @return whether no other account has its name or one of its keys; if one has, nothing is
         *     added
         */
        public boolean add(Account account, Collection<String> keys) {
            boolean taken = byName.containsKey(account.name());
            taken |= keys.stream().anyMatch(byKey::containsKey);
            if (taken) {
                return false;
            }
            byName.put(account.name(), account);
            keys.forEach(key -> byKey.put(key, account));
            return true;
        }

        /** Builds the table. */
        public AccountTable build() {
            return new AccountTable(this);
        }
    }
}
