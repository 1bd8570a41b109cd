package dev.zinniaring.model;

/** How a backend server is chosen within a pool. */
public enum BalancePolicy {
    /** The less loaded of two random candidates. */
    LEAST_LOADED,
    /** Each in turn. */
    ROUND_ROBIN,
    /** Any, with equal probability. */
    RANDOM
}
