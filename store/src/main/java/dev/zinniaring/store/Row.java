package dev.zinniaring.store;

/**
 * A row of the table service.
 *
 * @param key unique key, such as {@code mesh/pt-centro/head}
 * @param revision grows with every write of the row, from 1
 * @param value content in bytes; not to be modified
 */
@SuppressWarnings("ArrayRecordComponent") // rows are compared by key and revision only in tests
public record Row(String key, long revision, byte[] value) {}
