package dev.zinniaring.store;

import java.util.List;

/**
 * The rows of a table, or those that changed, in the response of a {@link RowStore}.
 *
 * @param rows the rows; the change feed also includes deleted ones
 * @param revision the latest revision of the store at the time of this page
 * @param nowMillis reading of the store's steady clock at that time, in milliseconds, or {@link
 *     #UNKNOWN_TIME}
 */
public record RowPage(List<TableRow> rows, long revision, long nowMillis) {
    /** Reading of a store that does not tell its clock. */
    public static final long UNKNOWN_TIME = -1;

    /** Creates a page of a store that does not tell its clock. */
    public RowPage(List<TableRow> rows, long revision) {
        this(rows, revision, UNKNOWN_TIME);
    }

    /** Makes a defensive copy of the list. */
    public RowPage {
        rows = List.copyOf(rows);
    }

    /**
     * A row of a table.
     *
     * @param key unique within its table
     * @param revision increases with every write
     * @param value content, empty if deleted; callers must not modify it
     * @param deleted whether the row has been deleted
     */
    @SuppressWarnings("ArrayRecordComponent") // never compared
    public record TableRow(String key, long revision, byte[] value, boolean deleted) {}
}
