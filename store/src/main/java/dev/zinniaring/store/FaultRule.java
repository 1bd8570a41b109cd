package dev.zinniaring.store;

/** Decides on the fault of each request. Called by several threads. */
@FunctionalInterface
public interface FaultRule {
    /** Lets every request pass. */
    FaultRule NONE = (kind, key) -> Fault.NONE;

    /**
     * Returns the fault of the next request.
     *
     * @param kind what is asked for
     * @param key the key or prefix, or the token of a transaction
     */
    Fault next(RequestKind kind, String key);
}
