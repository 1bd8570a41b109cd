package dev.zinniaring.calls;

/** Answers the requests of a listener. */
@FunctionalInterface
public interface ExchangeHandler {
    /** Answers an exchange, now or later. Called on the event loop; must not block. */
    void handle(Exchange exchange);
}
