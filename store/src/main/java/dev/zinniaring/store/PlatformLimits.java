package dev.zinniaring.store;

/** Size limits of requests to the platform, and checks against them. */
public final class PlatformLimits {
    /** Maximum length of a key, in characters. */
    public static final int MAX_KEY_CHARS = 512;

    /** Maximum size of a row's value, in bytes. */
    public static final int MAX_ROW_BYTES = 64 * 1024;

    /** Maximum size of an object, in bytes. */
    public static final int MAX_OBJECT_BYTES = 8 * 1024 * 1024;

    /** Maximum number of conditions and writes, taken together, in one transaction. */
    public static final int MAX_TRANSACTION_PARTS = 100;

    /** Maximum number of rows that one scan returns. */
    public static final int MAX_SCAN_ROWS = 1_000;

    private PlatformLimits() {}

    static void checkKey(String key) throws PlatformInvalidRequestException {
        if (key.isEmpty() || key.length() > MAX_KEY_CHARS) {
            throw new PlatformInvalidRequestException(
                    "key must have 1 to " + MAX_KEY_CHARS + " characters, had " + key.length());
        }
        if (key.startsWith("/") || key.endsWith("/") || key.contains("//")) {
            throw new PlatformInvalidRequestException(
                    "key must consist of parts between single slashes, was " + key);
        }
    }

    static void checkScan(String prefix, int limit) throws PlatformInvalidRequestException {
        if (prefix.length() > MAX_KEY_CHARS) {
            throw new PlatformInvalidRequestException(
                    "prefix must have at most " + MAX_KEY_CHARS + " characters");
        }
        if (limit < 1 || limit > MAX_SCAN_ROWS) {
            throw new PlatformInvalidRequestException(
                    "limit must be from 1 to " + MAX_SCAN_ROWS + ", was " + limit);
        }
    }

    static void checkObject(String key, byte[] body) throws PlatformInvalidRequestException {
        checkKey(key);
        if (body.length > MAX_OBJECT_BYTES) {
            throw new PlatformInvalidRequestException(
                    "object "
                            + key
                            + " must have at most "
                            + MAX_OBJECT_BYTES
                            + " bytes, had "
                            + body.length);
        }
    }

    static void checkTransaction(Transaction transaction) throws PlatformInvalidRequestException {
        checkKey(transaction.token());
        int parts = transaction.conditions().size() + transaction.puts().size();
        if (parts > MAX_TRANSACTION_PARTS) {
            throw new PlatformInvalidRequestException(
                    "a transaction must have at most "
                            + MAX_TRANSACTION_PARTS
                            + " conditions and writes, had "
                            + parts);
        }
        for (Transaction.Condition condition : transaction.conditions()) {
            checkKey(condition.key());
        }
        for (Transaction.Put put : transaction.puts()) {
            checkRow(put);
        }
    }

    private static void checkRow(Transaction.Put put) throws PlatformInvalidRequestException {
        checkKey(put.key());
        if (put.value().length > MAX_ROW_BYTES) {
            throw new PlatformInvalidRequestException(
                    "row "
                            + put.key()
                            + " must have at most "
                            + MAX_ROW_BYTES
                            + " bytes, had "
                            + put.value().length);
        }
    }
}
