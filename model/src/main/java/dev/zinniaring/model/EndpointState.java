package dev.zinniaring.model;

/** What a backend server says that it can take. */
public enum EndpointState {
    /** Started a short while ago; takes a growing share of work. */
    WARMING,
    /** Takes its full share. */
    READY,
    /** Finishes what it has and takes nothing new. */
    DRAINING,
    /** Has left; the record remains for a while, so that older records of it stay out. */
    GONE
}
