package dev.zinniaring.routing;

/** How an attempt at a backend server ended, as seen by load balancing. */
public enum CallOutcome {
    /** The backend server answered. */
    SUCCESS,
    /** The backend server failed: an answer of status 5xx, a broken connection or a timeout. */
    FAILED,
    /** The server's node refused the call without running it, for instance to shed load. */
    REFUSED,
    /** No connection to the server's node could be established. */
    CONNECT_FAILED,
    /** The caller gave up, which says nothing about the backend server. */
    CANCELLED
}
