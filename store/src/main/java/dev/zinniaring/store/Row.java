package dev.zinniaring.store;

/**
 * A row of the table service.
 *
 * @param key unique key, such as {@code mesh/pt-centro/head}
 * @param revision starts at 1 and increases with every write of the row
 * @param value content, which callers must not modify
 */
@SuppressWarnings("ArrayRecordComponent") // rows are compared by key and revision only in tests
public record Row(String key, long revision, byte[] value) {}
