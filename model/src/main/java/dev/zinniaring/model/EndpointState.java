package dev.zinniaring.model;

/** Lifecycle state that a backend server announces. */
public enum EndpointState {
    /** Started recently; receives an increasing share of calls. */
    WARMING,
    /** Receives its full share of calls. */
    READY,
    /** Completes its running calls and accepts no new ones. */
    DRAINING,
    /** Has left. The record is retained for a while so that older records do not replace it. */
    GONE
}
