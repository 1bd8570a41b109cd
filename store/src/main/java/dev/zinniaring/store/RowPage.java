package dev.zinniaring.store;

import java.util.List;

/**
 * Rows of a table.
 *
 * @param rows the rows; in a feed also those that were deleted
 * @param revision the newest revision of the store as of this page
 */
public record RowPage(List<TableRow> rows, long revision) {
    /** Copies the list. */
    public RowPage {
        rows = List.copyOf(rows);
    }

    /**
     * A row of a table.
     *
     * @param key unique in its table
     * @param revision grows with every write
     * @param value content in bytes, empty if deleted; not to be modified
     * @param deleted whether the row has been deleted
     */
    @SuppressWarnings("ArrayRecordComponent") // never compared
    public record TableRow(String key, long revision, byte[] value, boolean deleted) {}
}
