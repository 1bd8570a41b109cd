package dev.zinniaring.store;

/** The kinds of request that the platform takes, for counting, limits and faults. */
public enum RequestKind {
    /** Reads one row. */
    GET_ROW(false),
    /** Reads one row if it has changed. */
    GET_ROW_IF_NEWER(false),
    /** Reads the rows below a prefix. */
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

    /** Returns whether requests of this kind change something. */
    public boolean isWrite() {
        return write;
    }
}
