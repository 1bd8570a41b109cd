package dev.zinniaring.model;

/** Load-balancing policy that selects a backend server within a pool. */
public enum BalancePolicy {
    /** Selects the less loaded of two random backend servers. */
    LEAST_LOADED,
    /** Selects the backend servers in turn. */
    ROUND_ROBIN,
    /** Selects a backend server at random, all with equal probability. */
    RANDOM
}
