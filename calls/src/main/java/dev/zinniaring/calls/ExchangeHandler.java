package dev.zinniaring.calls;

/** Handles the requests that an {@link HttpListener} receives. */
@FunctionalInterface
public interface ExchangeHandler {
    /**
     * Handles a request. The answer may be sent during this call or later. Called on the event
     * loop; must not block.
     */
    void handle(Exchange exchange);
}
