package dev.zinniaring.routing;

/** Thrown if a version cannot be compiled into a routing table; the active table remains. */
public final class RoutingException extends Exception {
    /** Creates an exception with a message that names the invalid entry. */
    public RoutingException(String message) {
        super(message);
    }
}
