package dev.zinniaring.store;

/** Kinds of platform requests, for request counts, rate limits and fault injection. */
public enum RequestKind {
    /** Reads one row. */
    GET_ROW(false),
    /** Reads one row if its revision differs from a known one. */
    GET_ROW_IF_CHANGED(false),
    /** Reads the rows whose keys start with a prefix. */
    SCAN_ROWS(false),
    /** Commits a transaction. */
    COMMIT(true),
    /** Reads an object. */
    GET_OBJECT(false),
    /** Stores an object. */
    PUT_OBJECT(true);

    private final boolean write;

    RequestKind(boolean write) {
        this.write = write;
    }

    /** Returns whether requests of this kind modify stored data. */
    public boolean isWrite() {
        return write;
    }
}
