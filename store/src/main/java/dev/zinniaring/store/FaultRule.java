package dev.zinniaring.store;

/** Chooses the fault of each request. Called by several threads concurrently. */
@FunctionalInterface
public interface FaultRule {
    /** Injects no faults. */
    FaultRule NONE = (kind, key) -> Fault.NONE;

    /**
     * Returns the fault of the next request.
     *
     * @param kind the kind of request
     * @param key the key or prefix of the request; for a transaction, its token
     */
    Fault next(RequestKind kind, String key);
}
