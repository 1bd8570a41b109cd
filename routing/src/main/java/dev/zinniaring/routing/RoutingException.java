package dev.zinniaring.routing;

/** A version cannot be turned into a routing table; the table in force stays. */
public final class RoutingException extends Exception {
    /** Creates an exception whose message names the entry that does not fit. */
    public RoutingException(String message) {
        super(message);
    }
}
