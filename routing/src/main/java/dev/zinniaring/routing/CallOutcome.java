package dev.zinniaring.routing;

/** How an attempt at a backend server ended, as far as balancing is concerned. */
public enum CallOutcome {
    /** The backend server answered. */
    SUCCESS,
    /** The backend server failed: an answer of status 5xx, a broken connection or a timeout. */
    FAILED,
    /** Its node refused the call unrun, for instance because it sheds load. */
    REFUSED,
    /** No connection to its node came about. */
    CONNECT_FAILED,
    /** The caller gave up; tells nothing about the backend server. */
    CANCELLED
}
