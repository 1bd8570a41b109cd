package dev.zinniaring.calls;

/** Handles the requests that an {@link HttpListener} receives. */
@FunctionalInterface
public interface ExchangeHandler {
    /**
     * Handles a request. The answer may be sent during this call or later. Called on the event
     * loop; must not block.
     */
    void handle(Exchange exchange);

    /**
     * Returns whether the start of a request can wait until the event loop has read what has
     * arrived, as it has to for calls. By default, requests start as soon as they are read.
     */
    default boolean queued(Exchange exchange) {
        return false;
    }

    /**
     * Returns whether a request may run again, so that it can run concurrently with requests before
     * it on its connection. By default, this follows from its method.
     */
    default boolean repeatable(Exchange exchange) {
        return switch (exchange.method()) {
            case "GET", "HEAD", "OPTIONS", "TRACE" -> true;
            default -> false;
        };
    }
}
